#include <boost/json/parse.hpp>
#include <map>

#include "command/documents.h"
#include "command/operation_id.h"
#include "command/subcommands.h"

namespace rosemarydrum {
namespace {

using field_values = std::map<std::string, std::string>;

bool is_history(std::string_view key) {
  return key == "operation" || key == "earlier_operations";
}

// Items with an id are named by it, so that an inserted item does not make
// all later ones differ.
std::string item_name(const boost::json::value& item, std::size_t index) {
  if (item.is_object()) {
    for (const char* field : {"id", "source"}) {
      if (const auto* name = item.get_object().if_contains(field)) {
        return field + ("=" + cell_text(*name));
      }
    }
  }
  return std::to_string(index);
}

void flatten(const std::string& path, const boost::json::value& value,
             field_values& out) {
  if (value.is_object()) {
    for (const auto& item : value.get_object()) {
      if (!path.empty() || !is_history(item.key())) {
        flatten(path.empty() ? std::string(item.key())
                             : path + "." + std::string(item.key()),
                item.value(), out);
      }
    }
  } else if (value.is_array()) {
    std::size_t index = 0;
    for (const auto& item : value.get_array()) {
      flatten(path + "[" + item_name(item, index++) + "]", item, out);
    }
  } else {
    out[path] = cell_text(value);
  }
}

result<field_values> fields_of(const std::string& text,
                               const std::string& name) {
  boost::json::error_code error;
  const auto parsed = boost::json::parse(text, error);
  if (error) {
    return fail(error_kind::bad_document,
                {name, error.message(), "JSON", "correct the JSON"});
  }
  field_values fields;
  flatten("", parsed, fields);
  return fields;
}

result<document> read_document(command_context& context,
                               const std::string& key) {
  BOOST_LEAF_AUTO(found, context.store.get(key));
  if (found.text.empty()) {
    return fail(error_kind::not_found, key + " does not exist");
  }
  return found;
}

}  // namespace

result<report> run_config_show(command_context& context,
                               const subcommand_arguments& given) {
  report answer;
  if (!given.words.empty()) {
    BOOST_LEAF_AUTO(found, read_document(context, given.words[0]));
    answer.text = pretty_json(boost::json::parse(found.text));
    return answer;
  }
  answer.columns = {"document", "revision", "bytes"};
  BOOST_LEAF_AUTO(documents, context.store.list(""));
  for (const auto& each : documents) {
    answer.rows.push_back({boost::json::value(each.key),
                           boost::json::value(each.changed.number),
                           boost::json::value(each.text.size())});
  }
  return answer;
}

result<report> run_config_history(command_context& context,
                                  const subcommand_arguments& given) {
  BOOST_LEAF_AUTO(found, read_document(context, given.words[0]));
  boost::json::error_code error;
  const auto parsed = boost::json::parse(found.text, error);
  std::vector<std::string> ids;
  if (!error && parsed.is_object()) {
    if (const auto* newest = parsed.get_object().if_contains("operation")) {
      ids.push_back(cell_text(*newest));
    }
    const auto* earlier = parsed.get_object().if_contains("earlier_operations");
    if (earlier != nullptr && earlier->is_array()) {
      for (const auto& id : earlier->get_array()) {
        ids.push_back(cell_text(id));
      }
    }
  }
  report answer;
  answer.columns = {"unix_ms", "operator", "change", "operation"};
  for (const auto& id : ids) {
    auto& row = answer.rows.emplace_back(answer.columns.size());
    if (const auto change = parse_operation_id(id)) {
      row[0] = change->time;
      row[1] = change->operator_name;
      row[2] = change->action;
    }
    row[3] = id;
  }
  answer.notes = {"the newest first, at most 16; revision " +
                  std::to_string(found.changed.number)};
  return answer;
}

result<report> run_config_diff(command_context& context,
                               const subcommand_arguments& given) {
  BOOST_LEAF_AUTO(found, read_document(context, given.words[0]));
  BOOST_LEAF_AUTO(text, read_file(context, given.words[1]));
  BOOST_LEAF_AUTO(stored_fields, fields_of(found.text, given.words[0]));
  BOOST_LEAF_AUTO(file_fields, fields_of(text, given.words[1]));
  report answer;
  answer.columns = {"field", "store", "file"};
  auto names = stored_fields;
  names.insert(file_fields.begin(), file_fields.end());
  const auto value_in = [](const field_values& fields,
                           const std::string& name) {
    const auto at = fields.find(name);
    return at == fields.end() ? boost::json::value()
                              : boost::json::value(at->second);
  };
  for (const auto& each : names) {
    auto in_store = value_in(stored_fields, each.first);
    auto in_file = value_in(file_fields, each.first);
    if (in_store != in_file) {
      answer.rows.push_back({boost::json::value(each.first),
                             std::move(in_store), std::move(in_file)});
    }
  }
  if (answer.rows.empty()) {
    answer.notes = {"no difference"};
  }
  return answer;
}

}  // namespace rosemarydrum
