#define BOOST_TEST_MODULE config_codec
#include "rosemarydrum/configuration/config_codec.h"

#include <boost/test/unit_test.hpp>

#include "config_generators.h"

namespace rosemarydrum {
namespace {

using problems = std::vector<field_error>;

constexpr std::string_view good_service = R"({"id":7,"owner":"ledger",
  "address":"10.0.0.1:9000","approvals":[{"caller":3,"team":"keepers",
  "source":"10.1.0.0/16","idempotent":false,"max_priority":200,
  "requests_per_second":500}],"upstreams":[{"id":1,"data_centre":1,
  "address":"10.0.1.1:7000","slots":4,"state":"in"}],
  "operation":"op-2","earlier_operations":["op-1"]})";

std::string good_service_with(std::string_view from, std::string_view to) {
  std::string text(good_service);
  const auto at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

// Guards against values that change between encoding and decoding.
BOOST_AUTO_TEST_CASE(every_value_decodes_to_itself) {
  BOOST_CHECK(rc::check("round trip", [] {
    const auto value = test::any_value("x-1");
    std::vector<std::string> operations;
    for (auto remaining = test::any_in<int>(0, 20); remaining > 0;
         --remaining) {
      operations.push_back(test::any_label());
    }
    const auto text = encode_document(value, operations);
    const auto result = decode_document(test::key_of(value), text);
    RC_ASSERT(std::holds_alternative<decoded_document>(result));
    const auto& decoded = std::get<decoded_document>(result);
    RC_ASSERT(decoded.value == value);
    operations.resize(std::min(operations.size(), max_operations));
    RC_ASSERT(decoded.operations == operations);
  }));
}

// Guards against a crash on a truncated or modified document, or its partial
// acceptance.
BOOST_AUTO_TEST_CASE(truncated_and_modified_documents_are_refused_or_decoded) {
  BOOST_CHECK(rc::check("cut and changed", [] {
    const auto value = test::any_value("x");
    const auto key = test::key_of(value);
    auto text = encode_document(value, {});
    const auto cut = test::any_in<std::size_t>(1, text.size() - 1);
    RC_ASSERT(std::holds_alternative<problems>(
        decode_document(key, text.substr(0, cut))));
    for (auto remaining = test::any_in<int>(1, 5); remaining > 0; --remaining) {
      text[test::any_in<std::size_t>(0, text.size() - 1)] =
          *rc::gen::arbitrary<char>();
    }
    const auto result = decode_document(key, text);
    if (const auto* decoded = std::get_if<decoded_document>(&result)) {
      const auto again = decode_document(
          key, encode_document(decoded->value, decoded->operations));
      RC_ASSERT(std::get<decoded_document>(again).value == decoded->value);
    }
  }));
}

// Guards against a crash on bytes that are not JSON.
BOOST_AUTO_TEST_CASE(random_bytes_do_not_crash) {
  BOOST_CHECK(
      rc::check("random", [](const std::string& key, const std::string& text) {
        decode_document(key, text);
        decode_document("service/x", text);
        decode_document("data-centre/x", text);
      }));
}

// Guards against accepting values out of range or unknown fields.
BOOST_AUTO_TEST_CASE(each_wrong_field_is_named) {
  struct wrong {
    std::string_view from, to, key;
  };
  for (const auto& [from, to, key] : std::initializer_list<wrong>{
           {"\"id\":7", "\"id\":0", "id"},
           {"\"id\":7", "\"id\":-7", "id"},
           {"\"id\":7", "\"id\":7.0", "id"},
           {"\"id\":7", "\"id\":4294967296", "id"},
           {"\"id\":7", "\"id\":7,\"name\":\"x\"", "name"},
           {"\"owner\":\"ledger\",", "", "owner"},
           {"\"id\":7", "\"id\":7,\"id\":8", "id"},
           {"\"slots\":4", "\"slots\":4,\"slots\":5", "slots"},
           {"ledger", "a\\u0000b", "owner"},
           {"10.0.0.1:9000", "10.0.0.1:0", "address"},
           {"10.0.0.1:9000", "10.0.0.256:9000", "address"},
           {"10.0.0.1:9000", "10.0.0.01:9000", "address"},
           {"10.0.0.1:9000", "ledger:9000", "address"},
           {"10.1.0.0/16", "10.1.0.1/16", "approvals[0].source"},
           {"10.1.0.0/16", "10.1.0.0/33", "approvals[0].source"},
           {"200", "256", "approvals[0].max_priority"},
           {"500", "0", "approvals[0].requests_per_second"},
           {"false", "\"no\"", "approvals[0].idempotent"},
           {"\"slots\":4", "\"slots\":1025", "upstreams[0].slots"},
           {"\"in\"", "\"drain\"", "upstreams[0].state"},
           {"\"op-2\"", "7", "operation"},
           {"[\"op-1\"]", "[\"\"]", "earlier_operations"},
       }) {
    const auto result =
        decode_document("service/x", good_service_with(from, to));
    BOOST_REQUIRE_MESSAGE(std::holds_alternative<problems>(result), to);
    const auto& found = std::get<problems>(result);
    BOOST_REQUIRE_EQUAL(found.size(), 1U);
    BOOST_CHECK_EQUAL(found[0].key, key);
    BOOST_CHECK(!found[0].value.empty() && !found[0].allowed.empty() &&
                !found[0].fix.empty());
  }
}

// Guards against accepting invalid keys and oversized documents.
BOOST_AUTO_TEST_CASE(keys_and_sizes_are_bounded) {
  for (const auto* key : {"", "x", "service/", "service/A", "service/-a",
                          "service/a/b", "services/a"}) {
    BOOST_CHECK(
        std::holds_alternative<problems>(decode_document(key, good_service)));
  }
  std::string large(good_service);
  large.append(max_document_bytes + 1 - large.size(), ' ');
  BOOST_CHECK(
      std::holds_alternative<problems>(decode_document("service/x", large)));
  large.pop_back();
  BOOST_CHECK(std::holds_alternative<decoded_document>(
      decode_document("service/x", large)));
  std::string wrong = R"({"id":1,"state":"in","balancers":[)";
  for (int i = 0; i < 1000; ++i) {
    wrong += "0,";
  }
  const auto result = decode_document("data-centre/x", wrong + "0]}");
  BOOST_CHECK_EQUAL(std::get<problems>(result).size(), max_problems);
}

// Guards against accepting a source or id that is used twice in one document.
BOOST_AUTO_TEST_CASE(duplicates_within_a_document_are_refused) {
  const auto twice = [](std::string_view from, std::string_view to) {
    return std::get<problems>(
               decode_document("service/x", good_service_with(from, to)))
        .at(0)
        .key;
  };
  BOOST_CHECK_EQUAL(
      twice("\"state\":\"in\"}", R"("state":"in"},{"id":1,"data_centre":1,
        "address":"10.0.1.2:7000","slots":4,"state":"in"})"),
      "upstreams[1].id");
  BOOST_CHECK_EQUAL(
      twice(":500}", R"(:500},{"caller":4,"team":"b","source":"10.1.0.0/16",
        "idempotent":true,"max_priority":1,"requests_per_second":5})"),
      "approvals[1].source");
  BOOST_CHECK_EQUAL(
      twice(":500}", R"(:500},{"caller":3,"team":"b","source":"10.2.0.0/16",
        "idempotent":true,"max_priority":1,"requests_per_second":5})"),
      "approvals[1].caller");
}

std::vector<std::string> problem_keys(std::vector<document> documents) {
  std::vector<std::string> keys;
  for (const auto& problem : check_documents(documents)) {
    keys.push_back(problem.key);
  }
  return keys;
}

// Guards against accepting documents that are valid alone but conflict with
// each other.
BOOST_AUTO_TEST_CASE(contradictions_between_documents_are_found) {
  const std::string centre =
      R"({"id":1,"state":"in","balancers":[{"id":1,"address":"10.9.0.1:1"}]})";
  const document first{"service/a", std::string(good_service), revision(1)};
  const document east{"data-centre/east", centre, revision(2)};
  BOOST_CHECK(problem_keys({first, east}).empty());
  BOOST_CHECK(problem_keys({first}) ==
              std::vector<std::string>{"service/a: upstreams 1.data_centre"});
  BOOST_CHECK(
      problem_keys({first, east, {"service/b", std::string(good_service), {}}})
          .size() == 3);  // id, address, upstream address
  BOOST_CHECK(
      problem_keys({first, east, {"data-centre/west", centre, {}}}).size() ==
      3);  // id, balancer, its address
  const document overlap{
      "service/a",
      good_service_with(":500}",
                        R"(:500},{"caller":4,"team":"b","source":"10.1.2.0/24",
        "idempotent":true,"max_priority":1,"requests_per_second":5})"),
      revision(3)};
  BOOST_CHECK(problem_keys({overlap, east}) ==
              std::vector<std::string>{"service/a: approvals b.source"});
}

}  // namespace
}  // namespace rosemarydrum
