#include <fstream>

#include "command/explanation.h"
#include "command/subcommands.h"

namespace rosemarydrum {
namespace {

namespace po = boost::program_options;

std::string fields_text(const boost::json::object& fields) {
  std::string text;
  for (const auto& field : fields) {
    text += text.empty() ? "" : " ";
    text += std::string(field.key()) + "=" + cell_text(field.value());
  }
  return text;
}

result<std::vector<logged_event>> read_files(
    const std::vector<std::string>& files, report& answer) {
  std::vector<logged_event> log;
  for (const auto& file : files) {
    std::ifstream stream(file);
    if (!stream) {
      return fail(error_kind::not_found,
                  {"FILE", file, "a file that can be read", "name another"});
    }
    auto content = read_log(stream);
    if (content.other_lines > 0) {
      answer.notes.push_back(std::to_string(content.other_lines) +
                             " lines of " + file + " are no events");
    }
    log.insert(log.end(), std::make_move_iterator(content.events.begin()),
               std::make_move_iterator(content.events.end()));
  }
  return log;
}

}  // namespace

void add_explain_flags(po::options_description& flags) {
  flags.add_options()(
      "id", po::value<std::string>(),
      "Id of the request, or its flow as address:port>address:port.");
}

result<report> run_explain(command_context&,
                           const subcommand_arguments& given) {
  if (given.flags.count("id") == 0) {
    return fail(error_kind::bad_settings,
                {"--id", "", "a request's id or a flow", "set --id"});
  }
  report answer;
  BOOST_LEAF_AUTO(log, read_files(given.words, answer));
  const auto found = explain(log, given.flags["id"].as<std::string>());
  answer.columns = {"order", "logical", "unix_ms", "node",
                    "event", "name",    "fields"};
  for (const auto& [event, certain] : found.events) {
    answer.rows.push_back({certain ? "" : "?", event.logical_time,
                           event.unix_ms, boost::json::string(event.node),
                           event.number, boost::json::string(event.name),
                           boost::json::string(fields_text(event.fields))});
  }
  for (const auto& finding : found.findings) {
    answer.notes.push_back("found: " + finding);
  }
  for (const auto& missing : found.missing) {
    answer.notes.push_back("missing: " + missing);
  }
  return answer;
}

}  // namespace rosemarydrum
