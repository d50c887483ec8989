#pragma once

#include "command/subcommand.h"

/// The functions in the table of subcommands, by file.
namespace rosemarydrum {

void no_flags(boost::program_options::options_description& flags);

result<report> run_questionnaire_template(command_context& context,
                                          const subcommand_arguments& given);
result<report> run_questionnaire_check(command_context& context,
                                       const subcommand_arguments& given);
result<report> run_questionnaire_submit(command_context& context,
                                        const subcommand_arguments& given);

void add_approval_list_flags(boost::program_options::options_description& f);
result<report> run_approval_list(command_context& context,
                                 const subcommand_arguments& given);
result<report> run_approval_grant(command_context& context,
                                  const subcommand_arguments& given);
result<report> run_approval_revoke(command_context& context,
                                   const subcommand_arguments& given);

void add_create_flags(boost::program_options::options_description& flags);
result<report> run_service_create(command_context& context,
                                  const subcommand_arguments& given);
result<report> run_service_show(command_context& context,
                                const subcommand_arguments& given);
result<report> run_service_list(command_context& context,
                                const subcommand_arguments& given);

result<report> run_upstream_out(command_context& context,
                                const subcommand_arguments& given);
result<report> run_upstream_in(command_context& context,
                               const subcommand_arguments& given);

void add_wait_flags(boost::program_options::options_description& flags);
void add_out_flags(boost::program_options::options_description& flags);
result<report> run_data_centre_create(command_context& context,
                                      const subcommand_arguments& given);
result<report> run_data_centre_out(command_context& context,
                                   const subcommand_arguments& given);
result<report> run_data_centre_in(command_context& context,
                                  const subcommand_arguments& given);

result<report> run_status(command_context& context,
                          const subcommand_arguments& given);

void add_explain_flags(boost::program_options::options_description& flags);
result<report> run_explain(command_context& context,
                           const subcommand_arguments& given);
void add_events_flags(boost::program_options::options_description& flags);
result<report> run_events(command_context& context,
                          const subcommand_arguments& given);

result<report> run_config_show(command_context& context,
                               const subcommand_arguments& given);
result<report> run_config_history(command_context& context,
                                  const subcommand_arguments& given);
result<report> run_config_diff(command_context& context,
                               const subcommand_arguments& given);

}  // namespace rosemarydrum
