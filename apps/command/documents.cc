#include "command/documents.h"

#include <fstream>
#include <iterator>

#include "command/operation_id.h"

namespace rosemarydrum {
namespace {

template <typename T>
result<stored<T>> decode(const document& from) {
  auto decoded = decode_document(from.key, from.text);
  if (auto* problems = std::get_if<std::vector<field_error>>(&decoded)) {
    for (auto& problem : *problems) {
      problem.key = from.key + ": " + problem.key;
    }
    return fail(error_kind::bad_document, *problems);
  }
  auto& good = std::get<decoded_document>(decoded);
  if (auto* value = std::get_if<T>(&good.value)) {
    return stored<T>{std::move(*value), from.changed,
                     std::move(good.operations)};
  }
  return fail(error_kind::not_found, from.key + " is deleted");
}

template <>
result<stored<questionnaire>> decode(const document& from) {
  auto decoded = decode_questionnaire(from.text);
  if (auto* problems = std::get_if<std::vector<field_error>>(&decoded)) {
    return fail(error_kind::bad_document, *problems);
  }
  auto& good = std::get<decoded_questionnaire>(decoded);
  return stored<questionnaire>{std::move(good.value), from.changed,
                               std::move(good.operations)};
}

template <typename T>
result<stored<T>> read(store_access& store, const std::string& key) {
  BOOST_LEAF_AUTO(found, store.get(key));
  if (found.text.empty()) {
    return fail(error_kind::not_found, key + " does not exist");
  }
  return decode<T>(found);
}

template <typename T>
result<std::vector<stored<T>>> list(store_access& store,
                                    std::string_view prefix) {
  BOOST_LEAF_AUTO(documents, store.list(prefix));
  std::vector<stored<T>> values;
  for (const auto& each : documents) {
    BOOST_LEAF_AUTO(value, decode<T>(each));
    values.push_back(std::move(value));
  }
  return values;
}

std::vector<std::string> prepend_operation(
    const std::string& operation, const std::vector<std::string>& earlier) {
  std::vector<std::string> all = {operation};
  all.insert(all.end(), earlier.begin(), earlier.end());
  all.resize(std::min(all.size(), max_operations));
  return all;
}

}  // namespace

result<stored<service>> read_service(store_access& store,
                                     std::string_view name) {
  return read<service>(store, service_key(name));
}

result<stored<data_centre>> read_data_centre(store_access& store,
                                             std::string_view name) {
  return read<data_centre>(store, data_centre_key(name));
}

result<std::vector<stored<service>>> list_services(store_access& store) {
  return list<service>(store, service_prefix);
}

result<std::vector<stored<data_centre>>> list_data_centres(
    store_access& store) {
  return list<data_centre>(store, data_centre_prefix);
}

result<std::vector<stored<data_centre>>> data_centres_to_query(
    command_context& context) {
  if (context.options.peers.empty()) {
    return list_data_centres(context.store);
  }
  stored<data_centre> named;
  named.value.name = "-";
  for (const auto& peer : context.options.peers) {
    named.value.balancers.push_back({peer.id, peer.address});
  }
  return std::vector{std::move(named)};
}

result<stored<questionnaire>> read_questionnaire(store_access& store,
                                                 std::string_view service,
                                                 std::string_view team) {
  return read<questionnaire>(store, questionnaire_key(service, team));
}

result<std::vector<stored<questionnaire>>> list_questionnaires(
    store_access& store, std::string_view service) {
  return list<questionnaire>(store, service.empty()
                                        ? std::string(questionnaire_prefix)
                                        : questionnaire_key(service, ""));
}

std::string new_operation(command_context& context, std::string_view change) {
  return operation_id({context.wall_clock(), context.options.operator_name,
                       std::string(change),
                       static_cast<std::uint32_t>(context.random())});
}

result<revision> write_service(command_context& context, const service& value,
                               revision expected, std::string_view change) {
  return context.store.edit(service_key(value.name), value, expected,
                            new_operation(context, change));
}

result<revision> write_data_centre(command_context& context,
                                   const data_centre& value, revision expected,
                                   std::string_view change) {
  return context.store.edit(data_centre_key(value.name), value, expected,
                            new_operation(context, change));
}

result<revision> revision_for_create(store_access& store,
                                     const std::string& key) {
  BOOST_LEAF_AUTO(found, store.get(key));
  if (!found.text.empty()) {
    return fail(error_kind::conflict, key + " already exists");
  }
  return found.changed;
}

result<revision> write_questionnaire(command_context& context,
                                     const stored<questionnaire>& updated,
                                     std::string_view change) {
  const auto id = new_operation(context, change);
  return context.store.write(
      questionnaire_key(updated.value.service, updated.value.team),
      encode_questionnaire(updated.value,
                           prepend_operation(id, updated.operations)),
      updated.changed, id);
}

result<std::string> read_file(command_context& context,
                              const std::string& name) {
  if (name == "-") {
    return std::string(std::istreambuf_iterator<char>(context.input), {});
  }
  std::ifstream file(name);
  if (!file) {
    return fail(error_kind::bad_settings,
                {"--file", name, "a readable file, or - for standard input",
                 "check the file's name"});
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace rosemarydrum
