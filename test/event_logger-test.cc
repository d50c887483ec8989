#define BOOST_TEST_MODULE event_logger
#include "log/event_logger.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>

#include "log/log_writer.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

namespace json = boost::json;

struct fixture {
  std::vector<log_entry> drain_entries() {
    std::vector<log_entry> entries;
    ring.drain([&](log_entry&& entry) { entries.push_back(std::move(entry)); });
    return entries;
  }
  void log_repeatedly(event_id id, int count) {
    for (int i = 0; i < count; ++i) {
      log.log(id, runtime_clock::now(), [] { return json::object(); });
    }
  }

  manual_time clock{seconds(100)};
  logical_clock logical;
  log_ring ring{8192};
  event_logger log{ring, logical};
};

// Guards against a log volume that grows with the load, and against suppressed
// lines that are not counted.
BOOST_FIXTURE_TEST_CASE(limits_lines_per_event, fixture) {
  log.set_limit(event_id::flow_opened, 20);
  log_repeatedly(event_id::flow_opened, 500);
  BOOST_CHECK_EQUAL(drain_entries().size(), 20U);
  // Each event has its own limit.
  log_repeatedly(event_id::flow_refused, 30);
  BOOST_CHECK_EQUAL(drain_entries().size(), 30U);
  clock.advance(seconds(1));
  log_repeatedly(event_id::flow_opened, 1);
  const auto next = drain_entries();
  BOOST_REQUIRE_EQUAL(next.size(), 1U);
  BOOST_CHECK_EQUAL(next[0].left_out, 480U);
}

// Guards against lines below the configured severity, and against building the
// fields of such lines.
BOOST_FIXTURE_TEST_CASE(skips_lines_below_minimum_severity, fixture) {
  log.set_severity(severity_of("warning"));
  bool built = false;
  log.log(event_id::flow_opened, runtime_clock::now(), [&] {
    built = true;
    return json::object();
  });
  BOOST_CHECK(!built);
  log_repeatedly(event_id::flow_refused, 1);
  BOOST_CHECK_EQUAL(drain_entries().size(), 1U);
  BOOST_CHECK(severity_of("error") == event_severity::error);
  BOOST_CHECK(severity_of("info") == event_severity::info);
}

// Guards against lines that are not valid JSON, and against field values from
// callers that inject a newline or replace a standard field such as "node".
BOOST_FIXTURE_TEST_CASE(lines_are_json_objects, fixture) {
  const log_entry entry{event_id::flow_refused,
                        runtime_clock::now(),
                        17,
                        3,
                        {{"flow", "a\"b\n{"}, {"node", "forged"}}};
  const auto line = log_line(entry, {"node-1", 0xabc});
  BOOST_CHECK(line.find('\n') == std::string::npos);
  const auto parsed = json::parse(line).as_object();
  BOOST_CHECK_EQUAL(parsed.at("event").as_int64(), 702);
  BOOST_CHECK_EQUAL(parsed.at("name").as_string(), "flow_refused");
  BOOST_CHECK_EQUAL(parsed.at("severity").as_string(), "warning");
  BOOST_CHECK_EQUAL(parsed.at("node").as_string(), "node-1");
  BOOST_CHECK_EQUAL(parsed.at("run").as_string(), "abc");
  BOOST_CHECK_EQUAL(parsed.at("logical").as_int64(), 17);
  BOOST_CHECK_EQUAL(parsed.at("left_out").as_int64(), 3);
  BOOST_CHECK_EQUAL(parsed.at("flow").as_string(), "a\"b\n{");
}

/// A pipe that is read only by `read_all`.
struct test_pipe {
  test_pipe() { BOOST_REQUIRE_EQUAL(pipe(ends), 0); }
  ~test_pipe() {
    close_read();
    close(ends[1]);
  }
  void close_read() {
    if (ends[0] >= 0) {
      close(ends[0]);
      ends[0] = -1;
    }
  }
  std::string read_all() {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[65536];
    for (ssize_t size = 0; (size = read(ends[0], buffer, sizeof buffer)) > 0;) {
      text.append(buffer, static_cast<std::size_t>(size));
    }
    return text;
  }
  int ends[2];
};

// Guards against a slow log reader that blocks the process, and against lines
// that are dropped without a log_lines_dropped event.
BOOST_FIXTURE_TEST_CASE(full_pipe_does_not_block_writer, fixture) {
  test_pipe out;
  log_writer writer(out.ends[1], {"node-1", 1}, {&ring});
  log.set_limit(event_id::flow_opened, 1'000'000);
  for (int round = 0; round < 10; ++round) {
    for (int i = 0; i < 2000; ++i) {
      log.log(event_id::flow_opened, runtime_clock::now(), [] {
        return json::object{{"request", std::string(100, 'x')}};
      });
    }
    writer.write(runtime_clock::now());
  }
  BOOST_CHECK_GT(writer.dropped(), 0U);
  std::string text;
  for (int i = 0; i < 100; ++i) {
    text += out.read_all();
    writer.write(runtime_clock::now());
  }
  std::istringstream lines(text);
  bool drop_reported = false;
  for (std::string line; std::getline(lines, line);) {
    const auto parsed = json::parse(line).as_object();
    drop_reported =
        drop_reported || parsed.at("name").as_string() == "log_lines_dropped";
  }
  BOOST_CHECK(drop_reported);
}

// Guards against a closed log reader that terminates or blocks the process.
BOOST_FIXTURE_TEST_CASE(survives_closed_pipe, fixture) {
  test_pipe out;
  out.close_read();
  log_writer writer(out.ends[1], {"node-1", 1}, {&ring});
  log_repeatedly(event_id::flow_opened, 10);
  writer.write(runtime_clock::now());
  writer.write(runtime_clock::now());
}

// Guards against a full ring that blocks the packet-processing threads.
BOOST_FIXTURE_TEST_CASE(full_ring_counts_dropped_entries, fixture) {
  log_ring small_ring(4);
  event_logger logger(small_ring, logical);
  for (int i = 0; i < 10; ++i) {
    logger.log(event_id::flow_refused, runtime_clock::now(),
               [] { return json::object(); });
  }
  BOOST_CHECK_EQUAL(small_ring.dropped(), 6U);
}

}  // namespace
}  // namespace rosemarydrum
