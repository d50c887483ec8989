#include "command/documents.h"
#include "command/subcommands.h"
#include "command/wait_for_revision.h"

namespace rosemarydrum {
namespace {

std::string readiness_text(const balancer_status& state) {
  if (state.leaving) {
    return "leaving";
  }
  return state.ready ? "ready" : "not ready";
}

}  // namespace

result<report> run_status(command_context& context,
                          const subcommand_arguments&) {
  BOOST_LEAF_AUTO(centres, data_centres_to_query(context));
  report answer;
  answer.columns = {"balancer", "address",  "data_centre", "centre_state",
                    "state",    "revision", "flows",       "requests",
                    "shards",   "live"};
  for (const auto& centre : centres) {
    for (const auto& each : context.fleet.status(centre.value.balancers,
                                                 context.options.timeout)) {
      auto row = cells({std::to_string(value_of(each.from.id)),
                        to_string(each.from.address), centre.value.name,
                        std::string(name_of(centre.value.state))});
      if (each.value) {
        const auto& state = each.value->state;
        row.emplace_back(readiness_text(state));
        row.emplace_back(state.configuration.number);
        row.emplace_back(state.flows);
        row.emplace_back(state.unfinished_requests);
        row.emplace_back(state.decided.size());
        row.emplace_back(state.live.size());
      } else {
        row.emplace_back("no answer");
        row.resize(answer.columns.size());
        answer.notes.push_back("no answer: " + balancer_name(each.from) + " (" +
                               each.problem + ")");
      }
      answer.rows.push_back(std::move(row));
    }
  }
  return answer;
}

}  // namespace rosemarydrum
