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

/// Fails with not_found if no document has this name.
result<stored<service>> read_service(store_access& store,
                                     std::string_view name);
result<stored<data_centre>> read_data_centre(store_access& store,
                                             std::string_view name);
result<std::vector<stored<service>>> list_services(store_access& store);
result<std::vector<stored<data_centre>>> list_data_centres(store_access& store);
/// Returns the balancers to query: those of the settings, under a data centre
/// named "-", or else all that the store lists.
result<std::vector<stored<data_centre>>> data_centres_to_query(
    command_context& context);

result<stored<questionnaire>> read_questionnaire(store_access& store,
                                                 std::string_view service,
                                                 std::string_view team);
/// Lists the questionnaires of one service, or of all if `service` is empty.
result<std::vector<stored<questionnaire>>> list_questionnaires(
    store_access& store, std::string_view service);

/// Returns a new operation id for a change by the operator in the settings.
std::string new_operation(command_context& context, std::string_view change);

/// Returns the revision to expect when creating `key`. Fails with conflict if
/// the document exists.
result<revision> revision_for_create(store_access& store,
                                     const std::string& key);

/// Replaces the document at revision `expected` by `value`, which is validated
/// alone and against all other documents. Nothing is written if any field is
/// invalid.
result<revision> write_service(command_context& context, const service& value,
                               revision expected, std::string_view change);
result<revision> write_data_centre(command_context& context,
                                   const data_centre& value, revision expected,
                                   std::string_view change);
result<revision> write_questionnaire(command_context& context,
                                     const stored<questionnaire>& updated,
                                     std::string_view change);

/// Returns the contents of a file; the name "-" reads standard input.
result<std::string> read_file(command_context& context,
                              const std::string& name);

}  // namespace rosemarydrum
