#define BOOST_TEST_MODULE http_config_store
#include "daemon/http_config_store.h"

#include <boost/test/unit_test.hpp>

#include "rosemarydrum/configuration/config_codec.h"
#include "rosemarydrum/configuration/config_editor.h"
#include "standins/store_server.h"

namespace rosemarydrum {
namespace {

using boost::asio::ip::tcp;

const tcp::endpoint any_port(boost::asio::ip::address_v4::loopback(), 0);

// Runs the client and the fake store server on one thread with a held clock.
struct fixture {
  manual_time clock;
  boost::asio::io_context io;
  standins::store_server server{io, any_port};
  http_config_store store{io, server.address()};

  template <typename Done>
  void run_until(Done done) {
    // The real-time limit ends a failing test; a passing one does not reach it.
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < limit);
      io.run_one_for(std::chrono::milliseconds(100));
    }
  }
  /// Advances the held clock in small steps until `done`.
  template <typename Done>
  duration advance_until(Done done, milliseconds step = milliseconds(100)) {
    const auto from = runtime_clock::now();
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < limit);
      clock.advance(step);
      // Longer than a timer sleeps while the clock is held, so that the timers
      // due in this step fire.
      io.run_for(runtime_wait_traits::max_wait + milliseconds(5));
    }
    return runtime_clock::now() - from;
  }

  store_write_result write(const std::string& key, const std::string& text,
                           std::uint64_t expected) {
    std::optional<store_write_result> result;
    store.compare_and_swap({key, text, revision(expected), "op 1&"},
                           [&](const store_write_result& w) { result = w; });
    run_until([&] { return result.has_value(); });
    return *result;
  }
  store_read_result get(const std::string& key) {
    std::optional<store_read_result> result;
    store.get(key, [&](const store_read_result& r) { result = r; });
    run_until([&] { return result.has_value(); });
    return *result;
  }
  store_listing list(const std::string& prefix, std::uint64_t after) {
    std::optional<store_listing> result;
    store.list(prefix, revision(after),
               [&](const store_listing& l) { result = l; });
    run_until([&] { return result.has_value(); });
    return *result;
  }
};

// Guards against a client and a fake store server that violate the protocol.
BOOST_AUTO_TEST_CASE(reads_show_what_was_written) {
  fixture f;
  const std::string text = "{\"a\":\"\\u0001 \xc3\xa9\"}";
  BOOST_CHECK(f.get("service/a").error == error_kind::not_found);
  BOOST_CHECK(f.write("service/a", text, 0).changed == revision(1));
  BOOST_CHECK(f.get("service/a").value ==
              (document{"service/a", text, revision(1)}));
  const auto late = f.write("service/a", "x", 0);
  BOOST_CHECK(late.error == error_kind::conflict);
  BOOST_CHECK(late.outcome == certainty::not_run);
  BOOST_CHECK(f.write("data-centre/b c", "y", 0).changed == revision(2));
  BOOST_CHECK(f.write("service/a", "", 1).changed == revision(3));
  const auto all = f.list("", 0);
  BOOST_CHECK(all.last == revision(3));
  BOOST_REQUIRE_EQUAL(all.documents.size(), 2U);
  BOOST_CHECK_EQUAL(all.documents[0].key, "data-centre/b c");
  BOOST_CHECK_EQUAL(all.documents[1].text, "");
  BOOST_CHECK(f.list("service/", 0).documents.size() == 1);
  BOOST_CHECK(f.list("", 3).documents.empty());
  BOOST_CHECK_EQUAL(f.server.counts().puts, 4U);
}

// Guards against a listing that ends after the first page, and against
// accepting documents that are too large for the store.
BOOST_AUTO_TEST_CASE(large_listings_are_read_in_pages) {
  fixture f;
  const std::string large(max_document_bytes, '"');
  for (int i = 0; i < 9; ++i) {
    BOOST_REQUIRE(f.write("k" + std::to_string(i), large, 0).error ==
                  error_kind::none);
  }
  const auto all = f.list("", 0);
  BOOST_CHECK_EQUAL(all.documents.size(), 9U);
  BOOST_CHECK(all.documents.at(8).text == large);
  BOOST_CHECK_EQUAL(f.server.counts().lists, 3U);
  const auto refused = f.write("k", large + "x", 0);
  BOOST_CHECK(refused.error == error_kind::bad_document);
  BOOST_CHECK(refused.outcome == certainty::not_run);
}

// Guards against a failed write whose certainty (not run or unknown) is wrong.
BOOST_AUTO_TEST_CASE(failed_writes_state_their_certainty) {
  fixture f;
  f.server.faults().outage = true;
  auto result = f.write("a", "x", 0);
  BOOST_CHECK(result.error == error_kind::store_unavailable);
  BOOST_CHECK(result.outcome == certainty::not_run);
  f.server.faults().outage = false;
  f.server.faults().lose_answers = true;
  result = f.write("a", "x", 0);
  BOOST_CHECK(result.error == error_kind::store_unavailable);
  BOOST_CHECK(result.outcome == certainty::unknown);
  BOOST_CHECK(f.get("a").value.changed == revision(1));

  f.server.faults().lose_answers = false;
  f.server.faults().delay_ms = 5000;
  std::optional<store_write_result> late;
  f.store.compare_and_swap({"a", "y", revision(1), "op"},
                           [&](const store_write_result& w) { late = w; });
  const auto waited = f.advance_until([&] { return late.has_value(); });
  BOOST_CHECK(late->error == error_kind::timed_out);
  BOOST_CHECK(late->outcome == certainty::unknown);
  BOOST_CHECK(waited >= seconds(3) && waited <= milliseconds(3200));

  std::optional<store_write_result> unsent;
  tcp::acceptor closed(f.io, any_port);
  const auto unused_address = closed.local_endpoint();
  closed.close();
  http_config_store unconnected_store(f.io, unused_address);
  unconnected_store.compare_and_swap(
      {"a", "z", revision(2), "op"},
      [&](const store_write_result& w) { unsent = w; });
  f.run_until([&] { return unsent.has_value(); });
  BOOST_CHECK(unsent->error == error_kind::store_unavailable);
  BOOST_CHECK(unsent->outcome == certainty::not_run);
}

// Guards against calls that keep failing after a connection stopped responding.
BOOST_AUTO_TEST_CASE(silent_connections_are_replaced) {
  fixture f;
  f.write("a", "x", 0);
  std::vector<store_listing> shown;
  f.store.watch("", revision(1),
                [&](const store_listing& l) { shown.push_back(l); });
  f.run_until([&] { return f.server.counts().waiting_watches == 1; });
  f.server.silence();
  std::optional<store_read_result> read;
  f.store.get("a", [&](const store_read_result& r) { read = r; });
  f.advance_until([&] { return read.has_value(); });
  BOOST_CHECK(read->error == error_kind::timed_out);
  BOOST_CHECK(f.get("a").error == error_kind::none);
  BOOST_REQUIRE(!shown.empty());
  BOOST_CHECK(shown[0].error == error_kind::timed_out);
  shown.clear();
  f.write("a", "y", 1);
  f.run_until([&] {
    return std::any_of(shown.begin(), shown.end(),
                       [](const auto& l) { return l.documents.size() == 1; });
  });
}

// Guards against a watch that misses a change, that polls more than about once
// a second, or that does not resume after an outage.
BOOST_AUTO_TEST_CASE(watch_shows_each_change_and_costs_one_call_a_second) {
  fixture f;
  std::vector<store_listing> shown;
  const auto id = f.store.watch(
      "", revision(0), [&](const store_listing& l) { shown.push_back(l); });
  f.run_until([&] { return f.server.counts().waiting_watches == 1; });
  f.write("service/a", "x", 0);
  f.run_until([&] { return shown.size() == 1; });
  BOOST_REQUIRE_EQUAL(shown[0].documents.size(), 1U);

  const auto before = f.server.counts();
  const auto end = runtime_clock::now() + seconds(20);
  f.advance_until([&] { return runtime_clock::now() >= end; },
                  milliseconds(250));
  const auto calls = f.server.counts().watches - before.watches;
  BOOST_TEST_MESSAGE("watch calls in 20 s: "
                     << calls << ", bytes: "
                     << f.server.counts().bytes_sent - before.bytes_sent);
  BOOST_CHECK(calls >= 15 && calls <= 20);

  shown.clear();
  f.server.faults().outage = true;
  f.advance_until([&] {
    return !shown.empty() &&
           shown.back().error == error_kind::store_unavailable;
  });
  f.server.documents().put("service/b", "x", revision(0));
  f.server.faults().outage = false;
  shown.clear();
  f.advance_until([&] { return !shown.empty(); });
  BOOST_REQUIRE_EQUAL(shown[0].documents.size(), 1U);
  BOOST_CHECK_EQUAL(shown[0].documents[0].key, "service/b");

  f.store.end_watch(id);
  const auto ended = f.server.counts().watches;
  const auto later = runtime_clock::now() + seconds(3);
  f.advance_until([&] { return runtime_clock::now() >= later; });
  BOOST_CHECK_EQUAL(f.server.counts().watches, ended);
}

// Guards against a stale read that moves the watch back to an older revision.
BOOST_AUTO_TEST_CASE(stale_reads_show_nothing_newer) {
  fixture f;
  f.write("a", "x", 0);
  f.server.set_stale(true);
  f.write("a", "y", 1);
  BOOST_CHECK_EQUAL(f.get("a").value.text, "x");
  const auto listing = f.list("", 2);
  BOOST_CHECK(listing.error == error_kind::none);
  BOOST_CHECK(listing.documents.empty());
  BOOST_CHECK(listing.last == revision(2));
}

// Guards against an editor that misreads the certainty that the client reports,
// so that it does not recognise its own write after a lost answer.
BOOST_AUTO_TEST_CASE(editor_finds_its_write_after_a_lost_answer) {
  fixture f;
  f.server.faults().lose_answers = true;
  config_editor editor(f.store);
  std::optional<edit_result> result;
  edit new_edit{
      data_centre_key("east"),
      "op-1",
      {},
      [](const configuration&, document_value& value) {
        value = data_centre{data_centre_id(1), "east", service_state::in, {}};
        return error_kind::none;
      }};
  editor.start(new_edit, runtime_clock::now(),
               [&](const edit_result& r) { result = r; });
  f.advance_until([&] {
    editor.tick(runtime_clock::now());
    return result.has_value();
  });
  BOOST_CHECK(result->error == error_kind::none);
  BOOST_CHECK(result->changed == revision(1));
  BOOST_CHECK_EQUAL(f.server.counts().puts, 1U);
}

// Guards against malformed answers or requests that crash the client or server.
BOOST_AUTO_TEST_CASE(malformed_bodies_and_targets_are_refused) {
  for (const auto* body : {"", "[]", "{}", R"({"revision":-1})",
                           R"({"revision":1,"more":0,"documents":[]})",
                           R"({"revision":1,"more":false,"documents":[1]})"}) {
    BOOST_CHECK(!store_json::read_page(body));
    BOOST_CHECK(!store_json::read_document(body));
  }
  BOOST_CHECK(!store_json::unescape("%"));
  BOOST_CHECK(!store_json::unescape("a%4"));
  BOOST_CHECK(!store_json::unescape("%zz"));
  BOOST_CHECK(store_json::unescape(store_json::escape("a b&%\xff")) ==
              "a b&%\xff");
  BOOST_CHECK(!standins::parse_target("/v1/list?prefix"));
  BOOST_CHECK(!standins::parse_target("/v1/list?after=1")->number("x"));
}

}  // namespace
}  // namespace rosemarydrum
