#include "command/run_command.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options/parsers.hpp>
#include <ostream>
#include <sstream>

namespace rosemarydrum {
namespace {

namespace po = boost::program_options;
using word_list = std::vector<std::string>;

word_list split(std::string_view words) {
  std::istringstream stream{std::string(words)};
  return {std::istream_iterator<std::string>(stream), {}};
}

const subcommand* find(const word_list& words) {
  for (const auto& row : subcommand_table()) {
    const auto name = split(row.name);
    if (words.size() >= name.size() &&
        std::equal(name.begin(), name.end(), words.begin())) {
      return &row;
    }
  }
  return nullptr;
}

result<subcommand_arguments> parse(const subcommand& row,
                                   const word_list& rest) {
  po::options_description flags;
  row.add_flags(flags);
  flags.add_options()("word", po::value<word_list>());
  po::positional_options_description words;
  words.add("word", -1);
  subcommand_arguments given;
  try {
    po::store(po::command_line_parser(rest)
                  .options(flags)
                  .positional(words)
                  .style(po::command_line_style::unix_style &
                         ~po::command_line_style::allow_guessing)
                  .run(),
              given.flags);
  } catch (const po::error& error) {
    return fail(error_kind::bad_settings,
                {"flags", error.what(), "the flags of --help",
                 "see `rosemarydrum " + std::string(row.name) + " --help`"});
  }
  if (given.flags.count("word") > 0) {
    given.words = given.flags["word"].as<word_list>();
  }
  // A word in brackets is optional; one with dots may be repeated.
  const auto expected = split(row.words);
  const auto optional = static_cast<std::size_t>(
      std::count_if(expected.begin(), expected.end(),
                    [](const auto& word) { return word.front() == '['; }));
  const bool is_repeatable =
      !expected.empty() && expected.back().ends_with("...");
  if ((given.words.size() > expected.size() && !is_repeatable) ||
      given.words.size() + optional < expected.size()) {
    return fail(
        error_kind::bad_settings,
        {std::string(row.name), std::to_string(given.words.size()) + " words",
         row.words.empty() ? "no words" : std::string(row.words),
         "see `rosemarydrum " + std::string(row.name) + " --help`"});
  }
  return given;
}

result<void> check_needs(const subcommand& row, const settings& options) {
  const bool is_enough =
      options.store || row.needs == command_need::nothing ||
      (row.needs == command_need::store_or_peers && !options.peers.empty());
  if (!is_enough) {
    return fail(error_kind::bad_settings,
                {"--store", "", "the store's address:port",
                 "set --store or ROSEMARYDRUM_STORE"});
  }
  if (row.needs == command_need::store_and_operator &&
      options.operator_name.empty()) {
    return fail(error_kind::bad_settings,
                {"--operator", "", "your name",
                 "set --operator or ROSEMARYDRUM_OPERATOR"});
  }
  return {};
}

result<report> run(command_context& context) {
  const auto& words = context.options.remaining_arguments;
  const auto* row = find(words);
  if (row == nullptr) {
    return fail(error_kind::bad_settings,
                {"subcommand", words.empty() ? "" : words.front(),
                 "a subcommand of --help", "see `rosemarydrum --help`"});
  }
  const auto name_words = split(row->name).size();
  BOOST_LEAF_AUTO(
      given,
      parse(*row, {words.begin() + static_cast<std::ptrdiff_t>(name_words),
                   words.end()}));
  BOOST_LEAF_CHECK(check_needs(*row, context.options));
  return row->run(context, given);
}

int print_failure(const failure& error, output_format format,
                  std::ostream& err) {
  const auto& row = description_of(error.kind);
  if (format == output_format::json) {
    err << boost::json::serialize(boost::json::object{
               {"error", row.name}, {"message", error.message}})
        << '\n';
  } else {
    err << row.name << ": " << error.message << '\n';
  }
  return row.exit_code;
}

}  // namespace

int run_command(command_context& context, std::ostream& out,
                std::ostream& err) {
  if (context.options.help) {
    out << command_help(context.options.remaining_arguments);
    return 0;
  }
  const auto format = context.options.output;
  return boost::leaf::try_handle_all(
      [&]() -> result<int> {
        BOOST_LEAF_AUTO(answer, run(context));
        print(out, answer, format);
        return 0;
      },
      [&](const failure& error) { return print_failure(error, format, err); },
      [&] {
        err << "error without description\n";
        return 1;
      });
}

std::string command_help(const word_list& words) {
  std::ostringstream text;
  if (const auto* row = find(words)) {
    text << "usage: rosemarydrum " << row->name << ' ' << row->words << "\n\n"
         << row->text << "\n\n";
    po::options_description flags("Flags");
    row->add_flags(flags);
    if (!flags.options().empty()) {
      text << flags << '\n';
    }
    text << "Examples:\n";
    std::istringstream examples{std::string(row->examples)};
    for (std::string line; std::getline(examples, line);) {
      text << "  rosemarydrum " << line << '\n';
    }
  } else {
    text << "usage: rosemarydrum SUBCOMMAND [flags]\n\nSubcommands:\n";
    for (const auto& each : subcommand_table()) {
      auto name = std::string(each.name) + ' ' + std::string(each.words);
      name.resize(std::max<std::size_t>(name.size() + 1, 36), ' ');
      text << "  " << name << each.text << '\n';
    }
    text << "\n`rosemarydrum SUBCOMMAND --help` shows flags and examples.\n";
  }
  text << '\n' << settings_help(program::command);
  return text.str();
}

}  // namespace rosemarydrum
