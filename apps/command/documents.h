#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "command/subcommand.h"
#include "rosemarydrum/configuration/config_codec.h"
#include "rosemarydrum/configuration/questionnaire.h"

/// Typed access to the store's documents.
namespace rosemarydrum {

template <typename T>
struct stored {
  T value;
  revision changed{};
  std::vector<std::string> operations;
};

/// not_found if there is no document of this name.
result<stored<service>> read_service(store_access& store,
                                     std::string_view name);
result<stored<data_centre>> read_data_centre(store_access& store,
                                             std::string_view name);
result<std::vector<stored<service>>> list_services(store_access& store);
result<std::vector<stored<data_centre>>> list_data_centres(store_access& store);
/// The balancers to ask: those of the settings, in a data centre "-", or all
/// of the store.
result<std::vector<stored<data_centre>>> data_centres_to_ask(
    command_context& context);

result<stored<questionnaire>> read_questionnaire(store_access& store,
                                                 std::string_view service,
                                                 std::string_view team);
/// Of one service, or of all if `service` is empty.
result<std::vector<stored<questionnaire>>> list_questionnaires(
    store_access& store, std::string_view service);

/// A new id for a change by the operator of the settings.
std::string new_operation(command_context& context, std::string_view change);

/// The revision to expect when `key` is created; conflict if it exists.
result<revision> expected_of_new(store_access& store, const std::string& key);

/// Writes `value` in place of the document of revision `expected`, after the
/// checks of the document and against all others. Nothing is written if any
/// field is wrong.
result<revision> write_service(command_context& context, const service& value,
                               revision expected, std::string_view change);
result<revision> write_data_centre(command_context& context,
                                   const data_centre& value, revision expected,
                                   std::string_view change);
result<revision> write_questionnaire(command_context& context,
                                     const stored<questionnaire>& read,
                                     std::string_view change);

/// The contents of the file named by flag --file; "-" is standard input.
result<std::string> read_file(command_context& context,
                              const std::string& name);

}  // namespace rosemarydrum
