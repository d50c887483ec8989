#define BOOST_TEST_MODULE explanation
#include "command/explanation.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace rosemarydrum {
namespace {

// Lines in the format of the forwarder, one of them with a prefix.
const std::string log_text =
    R"({"unix_ms":1000,"logical":10,"event":320,"name":"member_listed","severity":"info","node":"edge-1","run":"a","member":"edge-2","revision":3}
{"unix_ms":1000,"logical":11,"event":320,"name":"member_listed","severity":"info","node":"edge-1","run":"a","member":"edge-3","revision":3}
{"unix_ms":2000,"logical":20,"event":413,"name":"upstream_silent","severity":"warning","node":"edge-1","run":"a","upstream":"a0","unanswered":2,"revision":5}
{"unix_ms":2000,"logical":21,"event":413,"name":"upstream_silent","severity":"warning","node":"edge-1","run":"a","upstream":"b7","unanswered":2,"revision":5}
  43.2 edge-1 {"unix_ms":3000,"logical":30,"event":701,"name":"flow_placed_again","severity":"warning","node":"edge-1","run":"a","flow":"1.1.1.1:1>2.2.2.2:443","cause":"timeout","unanswered":"a0","upstream":"a1","waited_us":60000,"configuration":7,"revision":5,"age_ms":300}
{"unix_ms":3010,"logical":31,"event":700,"name":"flow_opened","severity":"info","node":"edge-1","run":"a","request":"7f3a","flow":"1.1.1.1:1>2.2.2.2:443","upstream":"a1","data_centre":"north","reason":"least_loaded","attempts":2,"handshake_us":70000,"configuration":7,"revision":5,"age_ms":310,"left_out":4}
{"unix_ms":3500,"logical":33,"event":705,"name":"flow_slow","severity":"warning","node":"edge-1","run":"a","request":"7f3a","flow":"1.1.1.1:1>2.2.2.2:443","upstream":"a1","duration_us":490000,"objective_ms":300,"handshake_us":70000,"first_data_us":70500}
{"unix_ms":3005,"logical":29,"event":702,"name":"flow_refused","severity":"warning","node":"edge-2","run":"b","flow":"9.9.9.9:9>2.2.2.2:443","reason":"no_upstream","service":"desk","listed":2,"draining":2,"cold":0,"silent":0,"out":0,"configuration":7,"revision":5,"age_ms":1}
{"unix_ms":900,"logical":9,"event":200,"name":"configuration_applied","severity":"info","node":"edge-1","run":"a","configuration":7,"revision":2}
{"unix_ms":2500,"logical":25,"event":106,"name":"process_stalled","severity":"warning","node":"edge-2","run":"b","thread":"data","stalled_ms":900}
this is no event
)";

std::vector<logged_event> events() {
  std::istringstream lines(log_text);
  return read_log(lines).events;
}

std::vector<std::string> names(const explanation& found) {
  std::vector<std::string> all;
  for (const auto& each : found.events) {
    all.push_back(each.event.name);
  }
  return all;
}

bool any_has(const std::vector<std::string>& lines, const std::string& text) {
  return std::any_of(lines.begin(), lines.end(), [&](const auto& line) {
    return line.find(text) != std::string::npos;
  });
}

// Guards against log lines that are misread or skipped.
BOOST_AUTO_TEST_CASE(lines_are_read) {
  std::istringstream lines(log_text);
  const auto content = read_log(lines);
  BOOST_CHECK_EQUAL(content.events.size(), 10U);
  BOOST_CHECK_EQUAL(content.other_lines, 1U);
  const auto& opened = content.events[5];
  BOOST_CHECK_EQUAL(opened.name, "flow_opened");
  BOOST_CHECK_EQUAL(opened.node, "edge-1");
  BOOST_CHECK_EQUAL(opened.unix_ms, 3010U);
  BOOST_CHECK_EQUAL(opened.logical_time, 31U);
  BOOST_CHECK_EQUAL(opened.text("request"), "7f3a");
  BOOST_CHECK_EQUAL(opened.text("attempts"), "2");
  BOOST_CHECK_EQUAL(opened.text("none"), "");
}

// Guards against a logged cause that is not found by the request's id.
BOOST_AUTO_TEST_CASE(slow_request_is_traced_to_silent_upstream) {
  const auto found = explain(events(), "7f3a");
  BOOST_CHECK((names(found) ==
               std::vector<std::string>{"configuration_applied",
                                        "upstream_silent", "flow_placed_again",
                                        "flow_opened", "flow_slow"}));
  BOOST_REQUIRE_EQUAL(found.findings.size(), 3U);
  BOOST_CHECK(any_has(found.findings, "upstream a0 did not answer"));
  BOOST_CHECK(any_has(found.findings, "took 490000 us"));
}

// Guards against a refused request that cannot be found because its flow has no
// request id.
BOOST_AUTO_TEST_CASE(refused_flow_is_found_by_its_addresses) {
  const auto found = explain(events(), "9.9.9.9:9>2.2.2.2:443");
  BOOST_CHECK((names(found) ==
               std::vector<std::string>{"process_stalled", "flow_refused"}));
  BOOST_CHECK(any_has(found.findings, "no_upstream for service desk"));
}

// Guards against an explanation that hides missing logs or lines.
BOOST_AUTO_TEST_CASE(missing_lines_are_reported) {
  const auto found = explain(events(), "7f3a");
  BOOST_CHECK(any_has(found.missing, "the log of edge-3 is not given"));
  BOOST_CHECK(any_has(found.missing, "left out 4 lines of flow_opened"));
  BOOST_CHECK(!any_has(found.missing, "edge-2"));
  const auto nothing = explain(events(), "none");
  BOOST_CHECK(nothing.events.empty());
  BOOST_CHECK(any_has(nothing.missing, "no line names none"));
}

}  // namespace
}  // namespace rosemarydrum
