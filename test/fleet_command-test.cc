#define BOOST_TEST_MODULE fleet_command
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "command_fixture.h"

/// Subcommands for data centres and balancers.
namespace rosemarydrum {
namespace {

using test::command_fixture;

int exit_code(error_kind kind) { return description_of(kind).exit_code; }

// Guards against operators who take out the last data centre by mistake.
BOOST_FIXTURE_TEST_CASE(last_data_centre_is_kept, command_fixture) {
  const auto first = run({"data-centre", "out", "north"});
  BOOST_CHECK_EQUAL(first.code, 0);
  BOOST_CHECK(first.shows("hour-signal"));
  BOOST_CHECK(first.shows("given up"));
  const auto last = run({"data-centre", "out", "south"});
  BOOST_CHECK_EQUAL(last.code, exit_code(error_kind::last_data_centre));
  BOOST_CHECK(last.err.find("hour-signal") != std::string::npos);
  BOOST_CHECK(text_of("data-centre/south").find("\"out\"") ==
              std::string::npos);
  BOOST_CHECK_EQUAL(run({"data-centre", "out", "south", "--force"}).code, 0);
  BOOST_CHECK(text_of("data-centre/south").find("\"out\"") !=
              std::string::npos);
  BOOST_CHECK_EQUAL(run({"data-centre", "in", "north"}).code, 0);
  BOOST_CHECK(text_of("data-centre/north").find("\"out\"") ==
              std::string::npos);
}

// Guards against a data centre that counts as serving although all its
// upstreams of the service are out.
BOOST_FIXTURE_TEST_CASE(upstreams_that_are_out_do_not_serve, command_fixture) {
  BOOST_CHECK_EQUAL(run({"upstream", "out", "hour-signal", "2"}).code, 0);
  BOOST_CHECK_EQUAL(run({"data-centre", "out", "north"}).code,
                    exit_code(error_kind::last_data_centre));
  BOOST_CHECK_EQUAL(run({"upstream", "in", "hour-signal", "2"}).code, 0);
  BOOST_CHECK_EQUAL(run({"data-centre", "out", "north"}).code, 0);
}

// Guards against two operators who concurrently take out the last two data
// centres because each still sees the other one in service.
BOOST_FIXTURE_TEST_CASE(two_operators_cannot_take_out_both, command_fixture) {
  // The second operator runs after each possible number of the first one's
  // calls to the store.
  for (int steps = 1; steps < 40; ++steps) {
    put("data-centre/north", north);
    put("data-centre/south", south);
    put("leaving/data-centres", "");
    int seen = 0;
    int second = -1;
    after_step = [&] {
      if (++seen == steps) {
        second = run({"data-centre", "out", "south"}, "", "dave").code;
      }
    };
    const int first = run({"data-centre", "out", "north"}).code;
    after_step = [] {};
    const auto is_out = [&](const char* key) {
      return text_of(key).find("\"out\"") != std::string::npos;
    };
    BOOST_CHECK(!is_out("data-centre/north") || !is_out("data-centre/south"));
    BOOST_CHECK(second == -1 || first != 0 || second != 0);
  }
}

// Guards against an entry of an interrupted `data-centre out` that blocks the
// data centre permanently.
BOOST_FIXTURE_TEST_CASE(interrupted_out_is_cleared_by_in, command_fixture) {
  put("leaving/data-centres", R"({"names":["south"],"operation":"x"})");
  BOOST_CHECK_EQUAL(run({"data-centre", "out", "north"}).code,
                    exit_code(error_kind::last_data_centre));
  BOOST_CHECK_EQUAL(run({"data-centre", "in", "south"}).code, 0);
  BOOST_CHECK_EQUAL(run({"data-centre", "out", "north"}).code, 0);
}

// Guards against --wait that returns before a reachable balancer has the
// change, or that waits for unreachable ones.
BOOST_FIXTURE_TEST_CASE(wait_names_balancers_that_do_not_report,
                        command_fixture) {
  fleet.states[balancer_id(1)] = {};
  fleet.states[balancer_id(3)] = {};
  int rounds = 0;
  fleet.before_status = [&] {
    if (++rounds == 5) {
      for (auto& [id, state] : fleet.states) {
        state.state.configuration = revision(1'000);
      }
    }
  };
  const auto done = run({"data-centre", "out", "north", "--wait"});
  BOOST_CHECK_EQUAL(done.code, 0);
  BOOST_CHECK_GE(rounds, 5);
  BOOST_CHECK(done.shows("in effect at 2 of 3 balancers"));
  BOOST_CHECK(done.shows("no answer: balancer 2 at 127.0.0.1:7200"));

  fleet.states[balancer_id(3)].state.configuration = revision(1);
  const auto late = run({"data-centre", "in", "north", "--wait"});
  BOOST_CHECK_EQUAL(late.code, exit_code(error_kind::timed_out));
  BOOST_CHECK(late.err.find("balancer 3") != std::string::npos);
  BOOST_CHECK(late.err.find("is accepted") != std::string::npos);
}

// Guards against a status that fails or omits a balancer that is unreachable.
BOOST_FIXTURE_TEST_CASE(status_shows_unreachable_balancers, command_fixture) {
  fleet.states[balancer_id(1)].state.ready = true;
  const auto shown = run({"status", "--output=json"});
  BOOST_CHECK_EQUAL(shown.code, 0);
  const auto parsed = boost::json::parse(shown.out).as_object();
  BOOST_REQUIRE_EQUAL(parsed.at("rows").as_array().size(), 3U);
  const auto state = [&](std::size_t row) {
    return parsed.at("rows").as_array()[row].as_object().at("state");
  };
  BOOST_CHECK(state(0) == "ready");
  BOOST_CHECK(state(1) == "no answer");
  BOOST_CHECK_EQUAL(parsed.at("notes").as_array().size(), 2U);
}

// Guards against balancers that cannot be queried while the store is down.
BOOST_FIXTURE_TEST_CASE(named_balancers_are_shown_without_the_store,
                        command_fixture) {
  store.outage = true;
  fleet.states[balancer_id(9)].state.ready = true;
  const auto shown = run({"status", "--peer=9@127.0.0.1:7900"});
  BOOST_CHECK_EQUAL(shown.code, 0);
  BOOST_CHECK(shown.shows("ready"));
  BOOST_CHECK(
      run({"events", "--peer=9@127.0.0.1:7900"}).shows("missing: balancer 9"));
}

event_record at(std::uint32_t process, std::uint64_t sequence,
                std::uint64_t logical, std::uint64_t flow) {
  event_record event;
  event.id = event_id::flow_bound;
  event.process = {balancer_id(process), incarnation(1)};
  event.sequence = sequence;
  event.logical_time = logical;
  event.flow = flow_id(flow);
  return event;
}

// Guards against a timeline that does not name the balancers missing from it,
// or that shows an uncertain order as certain.
BOOST_FIXTURE_TEST_CASE(events_are_merged_filtered_and_marked,
                        command_fixture) {
  fleet.logs[balancer_id(1)] = {at(1, 1, 10, 5), at(1, 2, 30, 6)};
  fleet.logs[balancer_id(3)] = {at(3, 1, 10, 5), at(3, 2, 20, 5)};
  const auto all = run({"events", "--output=json"});
  BOOST_CHECK_EQUAL(all.code, 0);
  const auto parsed = boost::json::parse(all.out).as_object();
  const auto& rows = parsed.at("rows").as_array();
  BOOST_REQUIRE_EQUAL(rows.size(), 4U);
  const auto field = [&](std::size_t row, const char* name) {
    return rows[row].as_object().at(name);
  };
  BOOST_CHECK(field(0, "order") == "");
  BOOST_CHECK(field(1, "order") == "?");
  BOOST_CHECK(field(2, "logical") == 20);
  BOOST_CHECK(field(3, "logical") == 30);
  BOOST_CHECK(field(3, "name") == "flow_bound");
  BOOST_CHECK(all.shows("missing: balancer 2"));

  const auto some = run({"events", "--flow=5", "--balancer=3"});
  BOOST_CHECK(!some.shows(" 30 "));
  BOOST_CHECK(some.shows(" 20 "));
}

}  // namespace
}  // namespace rosemarydrum
