#define BOOST_TEST_MODULE questionnaire
#include "rosemarydrum/configuration/questionnaire.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

questionnaire answers() {
  const auto decoded = decode_questionnaire(questionnaire_template());
  BOOST_REQUIRE(std::holds_alternative<decoded_questionnaire>(decoded));
  return std::get<decoded_questionnaire>(decoded).value;
}

service hour_signal() {
  service value;
  value.id = service_id(1);
  value.name = "hour-signal";
  value.owner = "carol";
  value.address = {0x0a000001, 9000};
  return value;
}

std::string with(const char* field, boost::json::value value) {
  auto parsed = boost::json::parse(questionnaire_template()).as_object();
  parsed[field] = std::move(value);
  return boost::json::serialize(parsed);
}

// Guards against answers that change between encoding and decoding.
BOOST_AUTO_TEST_CASE(encoding_keeps_every_answer) {
  auto value = answers();
  value.submitted_by = "dave";
  const auto decoded =
      decode_questionnaire(encode_questionnaire(value, {"op2", "op1"}));
  BOOST_REQUIRE(std::holds_alternative<decoded_questionnaire>(decoded));
  const auto& result = std::get<decoded_questionnaire>(decoded);
  BOOST_CHECK(result.value == value);
  BOOST_CHECK((result.operations == std::vector<std::string>{"op2", "op1"}));
}

// Guards against invalid answers that are passed to the service's owner.
BOOST_AUTO_TEST_CASE(wrong_answers_name_key_value_range_and_fix) {
  const std::vector<std::pair<const char*, boost::json::value>> wrong = {
      {"service", "Hour Signal"},
      {"service", "a/b"},
      {"team", ""},
      {"team", "../x"},
      {"source", "10.1.0.1/16"},
      {"source", "10.1.0.0/33"},
      {"requests_per_second", 0},
      {"requests_per_second", -5},
      {"requests_per_second", 10'000'001},
      {"idempotent", "yes"},
      {"max_priority", 256},
      {"contact", nullptr},
      {"contract", "x"}};
  for (const auto& [field, value] : wrong) {
    const auto decoded = decode_questionnaire(with(field, value));
    BOOST_REQUIRE_MESSAGE(
        std::holds_alternative<std::vector<field_error>>(decoded), field);
    const auto& problems = std::get<std::vector<field_error>>(decoded);
    BOOST_REQUIRE_EQUAL(problems.size(), 1U);
    BOOST_CHECK_EQUAL(problems[0].key, field);
    BOOST_CHECK(!problems[0].value.empty());
    BOOST_CHECK(!problems[0].allowed.empty());
    BOOST_CHECK(!problems[0].fix.empty());
  }
  BOOST_CHECK(std::holds_alternative<std::vector<field_error>>(
      decode_questionnaire("[1]")));
  BOOST_CHECK(std::holds_alternative<std::vector<field_error>>(
      decode_questionnaire("")));
}

// Guards against an approval that differs from the request of the team.
BOOST_AUTO_TEST_CASE(granted_approval_is_made_of_the_answers) {
  const auto granted = grant_approval(hour_signal(), answers(), "carol");
  BOOST_REQUIRE(std::holds_alternative<service>(granted));
  const auto& approvals = std::get<service>(granted).approvals;
  BOOST_REQUIRE_EQUAL(approvals.size(), 1U);
  BOOST_CHECK_EQUAL(approvals[0].team, "tower-controllers");
  BOOST_CHECK(approvals[0].source == answers().source);
  BOOST_CHECK_EQUAL(approvals[0].requests_per_second, 200U);
  BOOST_CHECK(approvals[0].idempotent);
  BOOST_CHECK_EQUAL(approvals[0].max_priority, 100);
  BOOST_CHECK_NE(value_of(approvals[0].caller), 0U);
}

// Guards against approvals by anybody but the service's owner.
BOOST_AUTO_TEST_CASE(only_the_owner_grants_and_revokes) {
  for (const char* name : {"", "dave", "Carol", "tower-controllers"}) {
    const auto granted = grant_approval(hour_signal(), answers(), name);
    BOOST_REQUIRE(std::holds_alternative<refused_change>(granted));
    BOOST_CHECK_EQUAL(std::get<refused_change>(granted).problem.key,
                      "--operator");
    const auto approved =
        std::get<service>(grant_approval(hour_signal(), answers(), "carol"));
    BOOST_CHECK(std::holds_alternative<refused_change>(
        revoke_approval(approved, "tower-controllers", name)));
  }
}

// Guards against a questionnaire for one service that approves a team for
// another.
BOOST_AUTO_TEST_CASE(answers_for_another_service_are_refused) {
  auto other = hour_signal();
  other.name = "log-archive";
  BOOST_CHECK(std::holds_alternative<refused_change>(
      grant_approval(other, answers(), "carol")));
}

// Guards against a repeated grant that adds a second approval.
BOOST_AUTO_TEST_CASE(granting_again_replaces_the_approval) {
  auto once =
      std::get<service>(grant_approval(hour_signal(), answers(), "carol"));
  auto more = answers();
  more.requests_per_second = 900;
  const auto twice = std::get<service>(grant_approval(once, more, "carol"));
  BOOST_REQUIRE_EQUAL(twice.approvals.size(), 1U);
  BOOST_CHECK_EQUAL(twice.approvals[0].requests_per_second, 900U);
  BOOST_CHECK(twice.approvals[0].caller == once.approvals[0].caller);
}

// Guards against two teams that share a prefix, so that one gets the other's
// identity.
BOOST_AUTO_TEST_CASE(prefix_of_another_team_is_refused) {
  const auto first =
      std::get<service>(grant_approval(hour_signal(), answers(), "carol"));
  auto other = answers();
  other.team = "keepers";
  const auto refused = grant_approval(first, other, "carol");
  BOOST_REQUIRE(std::holds_alternative<refused_change>(refused));
  BOOST_CHECK_EQUAL(std::get<refused_change>(refused).problem.key, "source");
}

// Guards against a new team that gets the caller id, and so the recorded
// answers, of another team.
BOOST_AUTO_TEST_CASE(caller_ids_are_not_shared_or_used_again) {
  auto target =
      std::get<service>(grant_approval(hour_signal(), answers(), "carol"));
  const auto first = target.approvals[0].caller;
  target =
      std::get<service>(revoke_approval(target, "tower-controllers", "carol"));
  BOOST_CHECK(target.approvals.empty());
  auto other = answers();
  other.team = "keepers";
  target = std::get<service>(grant_approval(target, other, "carol"));
  BOOST_CHECK(target.approvals[0].caller != first);
  // An id that another team has because of a hash collision is skipped.
  target.approvals[0].caller = first;
  auto back = answers();
  back.source.address += 1U << 16;
  target = std::get<service>(grant_approval(target, back, "carol"));
  BOOST_REQUIRE_EQUAL(target.approvals.size(), 2U);
  BOOST_CHECK(target.approvals[1].caller != first);
}

// Guards against a revocation that succeeds without any approval of the team.
BOOST_AUTO_TEST_CASE(revoking_an_unknown_team_is_refused) {
  const auto refused = revoke_approval(hour_signal(), "keepers", "carol");
  BOOST_REQUIRE(std::holds_alternative<refused_change>(refused));
  BOOST_CHECK(std::get<refused_change>(refused).error == error_kind::not_found);
}

}  // namespace
}  // namespace rosemarydrum
