#include <algorithm>

#include "command/documents.h"
#include "command/leaving_data_centres.h"
#include "command/subcommands.h"
#include "command/wait_for_revision.h"

namespace rosemarydrum {
namespace {

result<data_centre> decode_new(const std::string& key,
                               const std::string& text) {
  auto decoded = decode_document(key, text);
  if (const auto* problems = std::get_if<std::vector<field_error>>(&decoded)) {
    return fail(error_kind::bad_document, *problems);
  }
  if (auto* value = std::get_if<data_centre>(
          &std::get<decoded_document>(decoded).value)) {
    return std::move(*value);
  }
  return fail(error_kind::bad_document, {"document", "", "a JSON object",
                                         "write the data centre's fields"});
}

result<void> add_wait_notes(command_context& context,
                            const subcommand_arguments& given, revision changed,
                            report& answer) {
  if (given.flags.count("wait") == 0) {
    return {};
  }
  BOOST_LEAF_AUTO(centres, list_data_centres(context.store));
  BOOST_LEAF_AUTO(notes,
                  wait_for_revision(context, all_balancers(centres), changed));
  answer.notes.insert(answer.notes.end(), notes.begin(), notes.end());
  return {};
}

void remove_name(leaving_data_centres& leaving, const std::string& name) {
  std::erase(leaving.names, name);
}

}  // namespace

void add_wait_flags(boost::program_options::options_description& flags) {
  flags.add_options()("wait",
                      "Wait until all balancers that can be reached report "
                      "the change, at most --timeout-ms.");
}

result<report> run_data_centre_create(command_context& context,
                                      const subcommand_arguments& given) {
  const auto& name = given.words[0];
  BOOST_LEAF_AUTO(text,
                  read_file(context, given.flags["file"].as<std::string>()));
  BOOST_LEAF_AUTO(value, decode_new(data_centre_key(name), text));
  BOOST_LEAF_AUTO(expected,
                  revision_for_create(context.store, data_centre_key(name)));
  BOOST_LEAF_AUTO(changed,
                  write_data_centre(context, value, expected, "create"));
  report answer;
  answer.notes = {"revision " + std::to_string(changed.number) +
                  ": data centre " + name + " is created"};
  return answer;
}

result<report> run_data_centre_in(command_context& context,
                                  const subcommand_arguments& given) {
  const auto& name = given.words[0];
  BOOST_LEAF_AUTO(target, read_data_centre(context.store, name));
  report answer;
  if (target.value.state == service_state::in) {
    answer.notes = {"data centre " + name + " is already in"};
  } else {
    auto value = target.value;
    value.state = service_state::in;
    BOOST_LEAF_AUTO(changed,
                    write_data_centre(context, value, target.changed, "in"));
    answer.notes = {"revision " + std::to_string(changed.number) +
                    ": data centre " + name +
                    " is in; its upstreams start with one request each"};
    BOOST_LEAF_CHECK(add_wait_notes(context, given, changed, answer));
  }
  // `data-centre out` leaves the entry behind if it stops between its two
  // writes.
  BOOST_LEAF_AUTO(leaving, read_leaving(context.store));
  if (std::count(leaving.names.begin(), leaving.names.end(), name) > 0) {
    remove_name(leaving, name);
    BOOST_LEAF_CHECK(write_leaving(context, leaving));
  }
  return answer;
}

}  // namespace rosemarydrum
