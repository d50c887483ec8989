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
  std::vector<log_entry> taken() {
    std::vector<log_entry> entries;
    ring.drain([&](log_entry&& entry) { entries.push_back(std::move(entry)); });
    return entries;
  }
  void log_many(event_id id, int count) {
    for (int i = 0; i < count; ++i) {
      log.log(id, runtime_clock::now(), [] { return json::object(); });
    }
  }

  manual_time clock{seconds(100)};
  logical_clock logical;
  log_ring ring{8192};
  event_logger log{ring, logical};
};

// Guards against a log that grows with the load, and against lines that are
// left out without a count.
BOOST_FIXTURE_TEST_CASE(lines_of_one_event_are_bounded, fixture) {
  log.set_limit(event_id::flow_opened, 20);
  log_many(event_id::flow_opened, 500);
  BOOST_CHECK_EQUAL(taken().size(), 20U);
  // Failures have a limit of their own.
  log_many(event_id::flow_refused, 30);
  BOOST_CHECK_EQUAL(taken().size(), 30U);
  clock.advance(seconds(1));
  log_many(event_id::flow_opened, 1);
  const auto next = taken();
  BOOST_REQUIRE_EQUAL(next.size(), 1U);
  BOOST_CHECK_EQUAL(next[0].left_out, 480U);
}

// Guards against lines below the level that operators have set, and the cost
// of building them.
BOOST_FIXTURE_TEST_CASE(severities_are_respected, fixture) {
  log.set_severity(severity_of("warning"));
  bool built = false;
  log.log(event_id::flow_opened, runtime_clock::now(), [&] {
    built = true;
    return json::object();
  });
  BOOST_CHECK(!built);
  log_many(event_id::flow_refused, 1);
  BOOST_CHECK_EQUAL(taken().size(), 1U);
  BOOST_CHECK(severity_of("error") == event_severity::error);
  BOOST_CHECK(severity_of("info") == event_severity::info);
}

// Guards against a line that tools cannot read, and against fields of callers
// that end a line or pass for others.
BOOST_FIXTURE_TEST_CASE(lines_are_json_objects, fixture) {
  const log_entry entry{event_id::flow_refused,
                        runtime_clock::now(),
                        17,
                        3,
                        {{"flow", "a\"b\n{"}, {"node", "forged"}}};
  const auto line = log_line(entry, {"node-1", 0xabc});
  BOOST_CHECK(line.find('\n') == std::string::npos);
  const auto read = json::parse(line).as_object();
  BOOST_CHECK_EQUAL(read.at("event").as_int64(), 702);
  BOOST_CHECK_EQUAL(read.at("name").as_string(), "flow_refused");
  BOOST_CHECK_EQUAL(read.at("severity").as_string(), "warning");
  BOOST_CHECK_EQUAL(read.at("node").as_string(), "node-1");
  BOOST_CHECK_EQUAL(read.at("run").as_string(), "abc");
  BOOST_CHECK_EQUAL(read.at("logical").as_int64(), 17);
  BOOST_CHECK_EQUAL(read.at("left_out").as_int64(), 3);
  BOOST_CHECK_EQUAL(read.at("flow").as_string(), "a\"b\n{");
}

/// A pipe of which nobody reads unless told.
struct pipe_ends {
  pipe_ends() { BOOST_REQUIRE_EQUAL(pipe(ends), 0); }
  ~pipe_ends() {
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

// Guards against a reader of the log that stops the process, and against lines
// that are lost without a trace.
BOOST_FIXTURE_TEST_CASE(a_full_pipe_blocks_nobody, fixture) {
  pipe_ends out;
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
  bool told = false;
  for (std::string line; std::getline(lines, line);) {
    const auto read = json::parse(line).as_object();
    told = told || read.at("name").as_string() == "log_lines_dropped";
  }
  BOOST_CHECK(told);
}

// Guards against a closed reader that ends or stops the process.
BOOST_FIXTURE_TEST_CASE(a_closed_pipe_is_survived, fixture) {
  pipe_ends out;
  out.close_read();
  log_writer writer(out.ends[1], {"node-1", 1}, {&ring});
  log_many(event_id::flow_opened, 10);
  writer.write(runtime_clock::now());
  writer.write(runtime_clock::now());
}

// Guards against a ring that makes the threads of packets wait.
BOOST_FIXTURE_TEST_CASE(a_full_ring_drops_with_a_count, fixture) {
  log_ring small(4);
  event_logger quick(small, logical);
  for (int i = 0; i < 10; ++i) {
    quick.log(event_id::flow_refused, runtime_clock::now(),
              [] { return json::object(); });
  }
  BOOST_CHECK_EQUAL(small.dropped(), 6U);
}

}  // namespace
}  // namespace rosemarydrum
