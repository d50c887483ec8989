#include "command/subcommands.h"

namespace rosemarydrum {
namespace {

using enum command_need;

constexpr subcommand table[] = {
    {"questionnaire template", "", "Print a questionnaire to fill in.",
     "questionnaire template > answers.json", nothing, no_flags,
     run_questionnaire_template},
    {"questionnaire check", "FILE", "Check a questionnaire; changes nothing.",
     "questionnaire check answers.json", nothing, no_flags,
     run_questionnaire_check},
    {"questionnaire submit", "FILE",
     "Ask the owner of a service to approve a team.",
     "questionnaire submit answers.json --operator dave", store_and_operator,
     no_flags, run_questionnaire_submit},
    {"approval list", "", "List granted and pending approvals.",
     "approval list\napproval list --service hour-signal --output json", store,
     add_approval_list_flags, run_approval_list},
    {"approval grant", "SERVICE TEAM",
     "Approve a team; only for the service's owner.",
     "approval grant hour-signal tower-controllers --operator carol",
     store_and_operator, no_flags, run_approval_grant},
    {"approval revoke", "SERVICE TEAM",
     "Withdraw a team's approval; only for the service's owner.",
     "approval revoke hour-signal tower-controllers --operator carol",
     store_and_operator, no_flags, run_approval_revoke},
    {"service create", "NAME", "Create a service from a JSON document.",
     "service create hour-signal --file service.json --operator carol",
     store_and_operator, add_create_flags, run_service_create},
    {"service show", "NAME", "Print a service's document.",
     "service show hour-signal", store, no_flags, run_service_show},
    {"service list", "", "List the services.", "service list --output json",
     store, no_flags, run_service_list},
    {"upstream out", "SERVICE UPSTREAM",
     "Give an upstream no new work; what runs is finished.",
     "upstream out hour-signal 7 --operator carol", store_and_operator,
     no_flags, run_upstream_out},
    {"upstream in", "SERVICE UPSTREAM", "Give an upstream work again.",
     "upstream in hour-signal 7 --operator carol", store_and_operator, no_flags,
     run_upstream_in},
    {"data-centre create", "NAME", "Create a data centre from a JSON document.",
     "data-centre create north --file north.json --operator carol",
     store_and_operator, add_create_flags, run_data_centre_create},
    {"data-centre out", "NAME",
     "Send a data centre no packets; its flows are given up.",
     "data-centre out north --wait --operator carol\n"
     "data-centre out north --force --operator carol",
     store_and_operator, add_out_flags, run_data_centre_out},
    {"data-centre in", "NAME", "Use a data centre again.",
     "data-centre in north --wait --operator carol", store_and_operator,
     add_wait_flags, run_data_centre_in},
    {"status", "", "Show all balancers.",
     "status --output json\nstatus --peer 1@10.0.1.1:7000", store_or_peers,
     no_flags, run_status},
    {"events", "", "Show the time line of all balancers in order.",
     "events --data-centre 1\nevents --flow 81 --request 3 --output json",
     store_or_peers, add_events_flags, run_events},
    {"explain", "FILE...",
     "Say from forwarders' logs why a request ended as it did.",
     "explain --id 82a8bc5272b8e648 logs/*.json\n"
     "explain --id '100.64.0.7:40001>198.18.0.1:443' logs/*.json",
     nothing, add_explain_flags, run_explain},
    {"config show", "[KEY]", "List the documents, or print one.",
     "config show\nconfig show service/hour-signal", store, no_flags,
     run_config_show},
    {"config history", "KEY", "Who has changed a document, and when.",
     "config history data-centre/north", store, no_flags, run_config_history},
    {"config diff", "KEY FILE",
     "Show in which fields a file differs from the store's document.",
     "config diff service/hour-signal service.json", store, no_flags,
     run_config_diff},
};

}  // namespace

std::span<const subcommand> subcommand_table() { return table; }

void no_flags(boost::program_options::options_description&) {}

}  // namespace rosemarydrum
