#include <algorithm>
#include <boost/json/parse.hpp>

#include "command/documents.h"
#include "command/subcommands.h"

namespace rosemarydrum {
namespace {

result<service> decode_new(const std::string& key, const std::string& text) {
  auto decoded = decode_document(key, text);
  if (const auto* problems = std::get_if<std::vector<field_error>>(&decoded)) {
    return fail(error_kind::bad_document, *problems);
  }
  if (auto* value =
          std::get_if<service>(&std::get<decoded_document>(decoded).value)) {
    return std::move(*value);
  }
  return fail(error_kind::bad_document,
              {"document", "", "a JSON object", "write the service's fields"});
}

}  // namespace

void add_create_flags(boost::program_options::options_description& flags) {
  flags.add_options()(
      "file", boost::program_options::value<std::string>()->default_value("-"),
      "File with the JSON document; - is standard input.");
}

result<report> run_service_create(command_context& context,
                                  const subcommand_arguments& given) {
  const auto& name = given.words[0];
  BOOST_LEAF_AUTO(text,
                  read_file(context, given.flags["file"].as<std::string>()));
  BOOST_LEAF_AUTO(value, decode_new(service_key(name), text));
  if (!value.approvals.empty()) {
    return fail(
        error_kind::bad_document,
        {"approvals", std::to_string(value.approvals.size()) + " items",
         "an empty array", "submit questionnaires; the owner grants them"});
  }
  BOOST_LEAF_AUTO(expected,
                  revision_for_create(context.store, service_key(name)));
  BOOST_LEAF_AUTO(changed, write_service(context, value, expected, "create"));
  report answer;
  answer.notes = {"revision " + std::to_string(changed.number) + ": service " +
                  name + " is created"};
  return answer;
}

result<report> run_service_show(command_context& context,
                                const subcommand_arguments& given) {
  BOOST_LEAF_AUTO(found, read_service(context.store, given.words[0]));
  report answer;
  answer.text = pretty_json(
      boost::json::parse(encode_document(found.value, found.operations)));
  return answer;
}

result<report> run_service_list(command_context& context,
                                const subcommand_arguments&) {
  BOOST_LEAF_AUTO(services, list_services(context.store));
  report answer;
  answer.columns = {"service",   "id",    "owner", "address", "approvals",
                    "upstreams", "slots", "out",   "revision"};
  for (const auto& each : services) {
    std::uint64_t slots = 0;
    std::uint64_t out = 0;
    for (const auto& upstream : each.value.upstreams) {
      slots += upstream.slots;
      out += upstream.state == service_state::out ? 1 : 0;
    }
    answer.rows.push_back({boost::json::value(each.value.name),
                           boost::json::value(value_of(each.value.id)),
                           boost::json::value(each.value.owner),
                           boost::json::value(to_string(each.value.address)),
                           boost::json::value(each.value.approvals.size()),
                           boost::json::value(each.value.upstreams.size()),
                           boost::json::value(slots), boost::json::value(out),
                           boost::json::value(each.changed.number)});
  }
  return answer;
}

}  // namespace rosemarydrum
