#include <algorithm>

#include "command/documents.h"
#include "command/subcommands.h"

namespace rosemarydrum {
namespace {

std::vector<boost::json::value> approval_row(const std::string& service,
                                             const std::string& state,
                                             const approval& entry) {
  return {boost::json::value(service),
          boost::json::value(entry.team),
          boost::json::value(state),
          boost::json::value(to_string(entry.source)),
          boost::json::value(entry.requests_per_second),
          boost::json::value(entry.idempotent),
          boost::json::value(entry.max_priority)};
}

std::string service_filter(const subcommand_arguments& given) {
  return given.flags.count("service") > 0
             ? given.flags["service"].as<std::string>()
             : std::string();
}

result<service> to_result(std::variant<service, refused_change> change) {
  if (const auto* refused = std::get_if<refused_change>(&change)) {
    return fail(refused->error, to_line(refused->problem));
  }
  return std::get<service>(std::move(change));
}

}  // namespace

void add_approval_list_flags(boost::program_options::options_description& f) {
  f.add_options()("service", boost::program_options::value<std::string>(),
                  "Only approvals of this service.");
}

result<report> run_approval_list(command_context& context,
                                 const subcommand_arguments& given) {
  const auto wanted = service_filter(given);
  report answer;
  answer.columns = {"service",    "team",       "state",       "source",
                    "requests/s", "idempotent", "max_priority"};
  BOOST_LEAF_AUTO(services, list_services(context.store));
  for (const auto& each : services) {
    if (wanted.empty() || each.value.name == wanted) {
      for (const auto& granted : each.value.approvals) {
        answer.rows.push_back(
            approval_row(each.value.name, "granted", granted));
      }
    }
  }
  BOOST_LEAF_AUTO(pending, list_questionnaires(context.store, wanted));
  for (const auto& each : pending) {
    answer.rows.push_back(approval_row(each.value.service, "pending",
                                       make_approval(each.value, {})));
  }
  return answer;
}

result<report> run_approval_grant(command_context& context,
                                  const subcommand_arguments& given) {
  BOOST_LEAF_AUTO(target, read_service(context.store, given.words[0]));
  BOOST_LEAF_AUTO(pending, read_questionnaire(context.store, given.words[0],
                                              given.words[1]));
  BOOST_LEAF_AUTO(granted,
                  to_result(grant_approval(target.value, pending.value,
                                           context.options.operator_name)));
  BOOST_LEAF_AUTO(changed,
                  write_service(context, granted, target.changed, "grant"));
  report answer;
  answer.notes = {"revision " + std::to_string(changed.number) + ": team " +
                  pending.value.team + " is approved for service " +
                  target.value.name};
  // The grant stands even if the request cannot be removed; granting it again
  // changes nothing.
  const auto removed = boost::leaf::try_handle_all(
      [&]() -> result<bool> {
        BOOST_LEAF_CHECK(context.store.write(
            questionnaire_key(given.words[0], given.words[1]), "",
            pending.changed, new_operation(context, "grant")));
        return true;
      },
      [] { return false; });
  if (!removed) {
    answer.notes.emplace_back(
        "the request is still listed as pending; grant it again to remove it");
  }
  return answer;
}

result<report> run_approval_revoke(command_context& context,
                                   const subcommand_arguments& given) {
  BOOST_LEAF_AUTO(target, read_service(context.store, given.words[0]));
  BOOST_LEAF_AUTO(revoked,
                  to_result(revoke_approval(target.value, given.words[1],
                                            context.options.operator_name)));
  BOOST_LEAF_AUTO(changed,
                  write_service(context, revoked, target.changed, "revoke"));
  report answer;
  answer.notes = {"revision " + std::to_string(changed.number) + ": team " +
                  given.words[1] + " is no longer approved for service " +
                  target.value.name};
  return answer;
}

}  // namespace rosemarydrum
