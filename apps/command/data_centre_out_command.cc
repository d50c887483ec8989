#include <algorithm>

#include "command/documents.h"
#include "command/leaving_data_centres.h"
#include "command/subcommands.h"
#include "command/wait_for_revision.h"

namespace rosemarydrum {
namespace {

/// Slots of one service that are lost with the data centre and that remain
/// elsewhere. Upstreams that are out do not count.
struct service_loss {
  std::string name;
  std::uint64_t lost_slots = 0;
  std::uint64_t remaining_slots = 0;
};

bool is_leaving(const data_centre& centre,
                const leaving_data_centres& leaving) {
  return centre.state == service_state::out ||
         std::count(leaving.names.begin(), leaving.names.end(), centre.name) >
             0;
}

std::vector<service_loss> compute_losses(
    const std::vector<stored<service>>& services,
    const std::vector<stored<data_centre>>& centres,
    const leaving_data_centres& leaving, data_centre_id target) {
  std::vector<service_loss> found;
  for (const auto& each : services) {
    service_loss loss{each.value.name, 0, 0};
    for (const auto& upstream : each.value.upstreams) {
      if (upstream.state == service_state::out) {
        continue;
      }
      if (upstream.data_centre == target) {
        loss.lost_slots += upstream.slots;
      } else if (std::any_of(centres.begin(), centres.end(),
                             [&](const auto& centre) {
                               return centre.value.id == upstream.data_centre &&
                                      !is_leaving(centre.value, leaving);
                             })) {
        loss.remaining_slots += upstream.slots;
      }
    }
    if (loss.lost_slots > 0) {
      found.push_back(std::move(loss));
    }
  }
  return found;
}

std::string flows_note(command_context& context, const data_centre& target) {
  std::size_t flows = 0;
  std::size_t unanswered = 0;
  for (const auto& answer :
       context.fleet.status(target.balancers, context.options.timeout)) {
    flows += answer.value ? answer.value->state.flows : 0;
    unanswered += answer.value ? 0 : 1;
  }
  return "given up: the flows of the data centre; its balancers know of " +
         std::to_string(flows) +
         (unanswered > 0 ? ", " + std::to_string(unanswered) + " do not answer"
                         : "");
}

result<void> check_remaining(const std::vector<service_loss>& lost,
                             bool force) {
  std::string last;
  for (const auto& each : lost) {
    if (each.remaining_slots == 0) {
      last += (last.empty() ? "" : ", ") + each.name;
    }
  }
  if (!last.empty() && !force) {
    return fail(error_kind::last_data_centre,
                "no other data centre would serve: " + last +
                    "; put another one in first, or give them up with "
                    "--force");
  }
  return {};
}

/// Removes the target from the list after the write of its own document has
/// failed.
void undo_leaving(command_context& context, leaving_data_centres leaving,
                  revision written, const std::string& name) {
  std::erase(leaving.names, name);
  leaving.changed = written;
  boost::leaf::try_handle_all(
      [&]() -> result<void> {
        BOOST_LEAF_CHECK(write_leaving(context, leaving));
        return {};
      },
      [] {
        // A leftover entry is safe: it can only cause `data-centre out` to be
        // refused, and `data-centre in` removes it.
      });
}

}  // namespace

void add_out_flags(boost::program_options::options_description& flags) {
  add_wait_flags(flags);
  flags.add_options()("force",
                      "Take it out even if no other one serves a service.");
}

result<report> run_data_centre_out(command_context& context,
                                   const subcommand_arguments& given) {
  const auto& name = given.words[0];
  // The list is read before the other documents: a later change to it makes
  // the write below fail with a conflict, and an earlier one counts as out.
  BOOST_LEAF_AUTO(leaving, read_leaving(context.store));
  BOOST_LEAF_AUTO(target, read_data_centre(context.store, name));
  report answer;
  if (target.value.state == service_state::out) {
    answer.notes = {"data centre " + name +
                    " is already out; nothing is written"};
    return answer;
  }
  BOOST_LEAF_AUTO(centres, list_data_centres(context.store));
  BOOST_LEAF_AUTO(services, list_services(context.store));
  const auto lost = compute_losses(services, centres, leaving, target.value.id);
  BOOST_LEAF_CHECK(check_remaining(lost, given.flags.count("force") > 0));

  for (const auto& each : centres) {
    if (each.value.state == service_state::out) {
      std::erase(leaving.names, each.value.name);
    }
  }
  std::erase(leaving.names, name);
  leaving.names.push_back(name);
  answer.notes = {flows_note(context, target.value)};
  BOOST_LEAF_AUTO(listed, write_leaving(context, leaving));

  auto value = target.value;
  value.state = service_state::out;
  auto written = write_data_centre(context, value, target.changed, "out");
  if (!written) {
    undo_leaving(context, leaving, listed, name);
    return written.error();
  }
  answer.columns = {"service", "slots given up", "slots left"};
  for (const auto& each : lost) {
    answer.rows.push_back({boost::json::value(each.name),
                           boost::json::value(each.lost_slots),
                           boost::json::value(each.remaining_slots)});
  }
  answer.notes.push_back("revision " + std::to_string(written->number) +
                         ": data centre " + name + " is out");
  if (given.flags.count("wait") > 0) {
    BOOST_LEAF_AUTO(
        notes, wait_for_revision(context, all_balancers(centres), *written));
    answer.notes.insert(answer.notes.end(), notes.begin(), notes.end());
  }
  return answer;
}

}  // namespace rosemarydrum
