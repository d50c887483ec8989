#include "command/wait_for_revision.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

constexpr milliseconds poll_interval{200};
// Keeps an unresponsive balancer from using up the whole timeout in the first
// round.
constexpr milliseconds poll_timeout{1000};

}  // namespace

std::vector<balancer_entry> all_balancers(
    const std::vector<stored<data_centre>>& centres) {
  std::vector<balancer_entry> all;
  for (const auto& each : centres) {
    all.insert(all.end(), each.value.balancers.begin(),
               each.value.balancers.end());
  }
  return all;
}

std::string balancer_name(const balancer_entry& balancer) {
  return "balancer " + std::to_string(value_of(balancer.id)) + " at " +
         to_string(balancer.address);
}

result<std::vector<std::string>> wait_for_revision(
    command_context& context, const std::vector<balancer_entry>& balancers,
    revision wanted) {
  const auto give_up = context.wall_clock() +
                       static_cast<unix_ms>(context.options.timeout.count());
  while (true) {
    std::vector<std::string> notes;
    std::string behind;
    std::size_t reported = 0;
    for (const auto& answer : context.fleet.status(
             balancers, std::min(context.options.timeout, poll_timeout))) {
      const auto name = balancer_name(answer.from);
      if (!answer.value) {
        notes.push_back("no answer: ");
        notes.back() += name + " (" + answer.problem + ")";
      } else if (answer.value->state.configuration < wanted) {
        behind += behind.empty() ? "" : ", ";
        behind += name;
        behind += " at revision ";
        behind += std::to_string(answer.value->state.configuration.number);
      } else {
        ++reported;
      }
    }
    const auto text = std::to_string(wanted.number);
    if (behind.empty()) {
      std::string summary = "revision " + text;
      summary += " is in effect at ";
      summary += std::to_string(reported) + " of ";
      summary += std::to_string(balancers.size()) + " balancers";
      notes.insert(notes.begin(), std::move(summary));
      return notes;
    }
    if (context.wall_clock() >= give_up) {
      std::string message = "revision " + text;
      message += " is accepted, but not yet in effect at: " + behind;
      return fail(error_kind::timed_out, std::move(message));
    }
    context.sleep(poll_interval);
  }
}

}  // namespace rosemarydrum
