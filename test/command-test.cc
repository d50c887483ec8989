#define BOOST_TEST_MODULE command
#include <boost/test/unit_test.hpp>

#include "command/operation_id.h"
#include "command_fixture.h"
#include "rosemarydrum/configuration/questionnaire.h"

namespace rosemarydrum {
namespace {

using test::command_fixture;

int exit_code(error_kind kind) { return description_of(kind).exit_code; }

// Guards against a subcommand that cannot be found, or lacks its help.
BOOST_FIXTURE_TEST_CASE(every_subcommand_has_help, command_fixture) {
  for (const auto& row : subcommand_table()) {
    std::istringstream name{std::string(row.name)};
    std::vector<std::string> words{std::istream_iterator<std::string>(name),
                                   {}};
    words.emplace_back("--help");
    const auto help = run(words);
    BOOST_CHECK_EQUAL(help.code, 0);
    BOOST_CHECK(help.shows("usage: rosemarydrum " + std::string(row.name)));
    BOOST_CHECK(help.shows("Examples:"));
  }
  BOOST_CHECK(run({"--help"}).shows("data-centre out NAME"));
}

// Guards against a mistyped command that runs another subcommand or is ignored.
BOOST_FIXTURE_TEST_CASE(wrong_words_and_flags_are_refused, command_fixture) {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"data-centre"},
      {"data-centre", "off", "north"},
      {"data-centre", "out"},
      {"data-centre", "out", "north", "south"},
      {"data-centre", "out", "north", "--forse"},
      {"status", "north"},
      {"events", "--flow", "x"}};
  const auto before = store.history.size();
  for (const auto& words : wrong) {
    const auto ended = run(words);
    BOOST_CHECK_EQUAL(ended.code, exit_code(error_kind::bad_settings));
    BOOST_CHECK(ended.err.find("allowed: ") != std::string::npos);
  }
  BOOST_CHECK_EQUAL(store.history.size(), before);
}

// Guards against changes without the name of an operator.
BOOST_FIXTURE_TEST_CASE(changes_need_an_operator, command_fixture) {
  const auto before = store.history.size();
  const auto ended = run({"data-centre", "out", "north"}, "", "");
  BOOST_CHECK_EQUAL(ended.code, exit_code(error_kind::bad_settings));
  BOOST_CHECK(ended.err.find("--operator") != std::string::npos);
  BOOST_CHECK_EQUAL(store.history.size(), before);
}

// Guards against an approval that differs from the request or the grant.
BOOST_FIXTURE_TEST_CASE(team_is_approved_from_questionnaire_to_list,
                        command_fixture) {
  BOOST_CHECK_EQUAL(
      run({"questionnaire", "check", "-"}, questionnaire_template()).code, 0);
  const auto submitted =
      run({"questionnaire", "submit", "-"}, questionnaire_template(), "dave");
  BOOST_CHECK_EQUAL(submitted.code, 0);
  BOOST_CHECK(run({"approval", "list"}).shows("pending"));
  BOOST_CHECK(text_of("service/hour-signal").find("tower") ==
              std::string::npos);

  const auto refused = run(
      {"approval", "grant", "hour-signal", "tower-controllers"}, "", "dave");
  BOOST_CHECK_EQUAL(refused.code, exit_code(error_kind::bad_settings));
  BOOST_CHECK(text_of("service/hour-signal").find("tower") ==
              std::string::npos);

  const auto granted =
      run({"approval", "grant", "hour-signal", "tower-controllers"});
  BOOST_CHECK_EQUAL(granted.code, 0);
  const auto listed = run({"approval", "list", "--service=hour-signal"});
  BOOST_CHECK(listed.shows("granted"));
  BOOST_CHECK(!listed.shows("pending"));

  BOOST_CHECK_EQUAL(
      run({"approval", "revoke", "hour-signal", "tower-controllers"}).code, 0);
  BOOST_CHECK(!run({"approval", "list"}).shows("granted"));
}

// Guards against storing parts of an invalid questionnaire or document.
BOOST_FIXTURE_TEST_CASE(wrong_field_writes_nothing, command_fixture) {
  const auto before = store.history.size();
  auto answers = questionnaire_template();
  answers.replace(answers.find("200"), 3, "0");
  const auto submitted = run({"questionnaire", "submit", "-"}, answers);
  BOOST_CHECK_EQUAL(submitted.code, exit_code(error_kind::bad_document));
  BOOST_CHECK(submitted.err.find("requests_per_second: value \"0\"") !=
              std::string::npos);
  BOOST_CHECK(submitted.err.find("fix: ") != std::string::npos);

  const auto created = run({"service", "create", "log-archive"},
                           R"({"id":2,"owner":"carol","address":"x",
                               "approvals":[],"upstreams":[]})");
  BOOST_CHECK_EQUAL(created.code, exit_code(error_kind::bad_document));
  BOOST_CHECK(created.err.find("address") != std::string::npos);

  // A valid document that conflicts with another service.
  const auto clash =
      run({"service", "create", "log-archive"}, command_fixture::hour_signal);
  BOOST_CHECK_EQUAL(clash.code, exit_code(error_kind::bad_document));
  BOOST_CHECK_EQUAL(store.history.size(), before);
}

// Guards against an approval that no owner has granted.
BOOST_FIXTURE_TEST_CASE(created_service_has_no_approvals, command_fixture) {
  const std::string with_approval = R"({"id":2,"owner":"carol",
    "address":"10.0.0.2:9000","approvals":[{"caller":3,"team":"keepers",
    "source":"10.1.0.0/16","idempotent":false,"max_priority":200,
    "requests_per_second":500}],"upstreams":[]})";
  BOOST_CHECK_EQUAL(
      run({"service", "create", "log-archive"}, with_approval).code,
      exit_code(error_kind::bad_document));
  const auto good = run({"service", "create", "log-archive"},
                        R"({"id":2,"owner":"carol","address":"10.0.0.2:9000",
                            "approvals":[],"upstreams":[]})");
  BOOST_CHECK_EQUAL(good.code, 0);
  BOOST_CHECK(run({"service", "list"}).shows("log-archive"));
  BOOST_CHECK(run({"service", "show", "log-archive"}).shows("10.0.0.2:9000"));
}

// Guards against an operator's change that silently overwrites another's.
BOOST_FIXTURE_TEST_CASE(concurrent_operators_get_a_conflict, command_fixture) {
  bool raced = false;
  after_step = [&] {
    if (!raced) {
      raced = true;
      auto other = std::string(hour_signal);
      other.replace(other.find("carol"), 5, "erin");
      put("service/hour-signal", other);
    }
  };
  const auto ended = run({"upstream", "out", "hour-signal", "1"});
  BOOST_CHECK(raced);
  BOOST_CHECK_EQUAL(ended.code, exit_code(error_kind::conflict));
  BOOST_CHECK(text_of("service/hour-signal").find("erin") != std::string::npos);
  BOOST_CHECK(text_of("service/hour-signal").find("\"out\"") ==
              std::string::npos);
}

// Guards against a change that is reported as failed although it took effect.
BOOST_FIXTURE_TEST_CASE(lost_answers_are_resolved, command_fixture) {
  store.lose_answers = true;
  const auto out = run({"upstream", "out", "hour-signal", "1"});
  BOOST_CHECK_EQUAL(out.code, 0);
  const auto submitted =
      run({"questionnaire", "submit", "-"}, questionnaire_template(), "dave");
  BOOST_CHECK_EQUAL(submitted.code, 0);
  const auto granted =
      run({"approval", "grant", "hour-signal", "tower-controllers"});
  BOOST_CHECK_EQUAL(granted.code, 0);
  BOOST_CHECK(!run({"approval", "list"}).shows("pending"));
  BOOST_CHECK(text_of("service/hour-signal").find("\"out\"") !=
              std::string::npos);
}

// Guards against reporting "nothing is written" while a write may still take
// effect.
BOOST_FIXTURE_TEST_CASE(unresolved_write_is_reported_as_uncertain,
                        command_fixture) {
  store.delay_writes = true;
  const auto ended =
      run({"questionnaire", "submit", "-"}, questionnaire_template(), "dave");
  BOOST_CHECK_EQUAL(ended.code, exit_code(error_kind::timed_out));
  BOOST_CHECK(ended.err.find("may be in force") != std::string::npos);
}

// Guards against a command that hangs or reports success while the store is
// unavailable.
BOOST_FIXTURE_TEST_CASE(store_outage_is_named, command_fixture) {
  store.outage = true;
  const auto ended = run({"data-centre", "out", "north"});
  BOOST_CHECK_EQUAL(ended.code, exit_code(error_kind::store_unavailable));
  BOOST_CHECK_EQUAL(run({"service", "list"}).code,
                    exit_code(error_kind::store_unavailable));
}

// Guards against a history without the operator of each change.
BOOST_FIXTURE_TEST_CASE(history_and_diff_show_changes, command_fixture) {
  BOOST_CHECK_EQUAL(run({"upstream", "out", "hour-signal", "1"}).code, 0);
  BOOST_CHECK_EQUAL(
      run({"upstream", "in", "hour-signal", "1"}, "", "e.erin").code, 0);
  const auto history = run({"config", "history", "service/hour-signal"});
  BOOST_CHECK(history.shows("e.erin"));
  BOOST_CHECK(history.out.find("upstream-in") <
              history.out.find("upstream-out"));
  BOOST_CHECK(run({"config", "show"}).shows("data-centre/north"));
  BOOST_CHECK(run({"config", "show", "service/hour-signal"}).shows("carol"));

  const auto same =
      run({"config", "diff", "service/hour-signal", "-"}, hour_signal);
  BOOST_CHECK(same.shows("no difference"));
  auto other = std::string(hour_signal);
  other.replace(other.find("carol"), 5, "erin");
  const auto differs =
      run({"config", "diff", "service/hour-signal", "-"}, other);
  BOOST_CHECK(differs.shows("owner"));
  BOOST_CHECK(differs.shows("erin"));
  BOOST_CHECK_EQUAL(run({"config", "show", "service/none"}).code,
                    exit_code(error_kind::not_found));
}

// Guards against ids that exceed the document's limit or cannot be parsed.
BOOST_AUTO_TEST_CASE(operation_ids_are_short_and_readable) {
  const auto id = operation_id(
      {1'764'835'200'000, std::string(64, 'x'), "a-very-long-action-name", 7});
  BOOST_CHECK_LE(id.size(), 64U);
  const auto change =
      parse_operation_id(operation_id({12, "e.erin", "out", 0xabcd}));
  BOOST_REQUIRE(change);
  BOOST_CHECK_EQUAL(change->time, 12U);
  BOOST_CHECK_EQUAL(change->operator_name, "e.erin");
  BOOST_CHECK_EQUAL(change->action, "out");
  BOOST_CHECK_EQUAL(change->random, 0xabcdU);
  BOOST_CHECK(!parse_operation_id("op-1"));
}

}  // namespace
}  // namespace rosemarydrum
