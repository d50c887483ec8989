#define BOOST_TEST_MODULE store_client
#include "platform/store_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <thread>

#include "platform/store_answers.h"

namespace rosemarydrum::platform {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// Answers requests with prepared responses, one connection at a time, and
/// records the requests.
class canned_server {
 public:
  struct response {
    unsigned status = 200;
    std::string body;
    /// Closes the connection instead of answering.
    bool cut = false;
    /// Sends the answer a second time.
    bool twice = false;
    /// Value of the header Store-Era; none if empty.
    std::string era{};
  };

  explicit canned_server(std::deque<response> responses)
      : responses_(std::move(responses)), thread_([this] { run(); }) {}
  ~canned_server() { thread_.join(); }
  canned_server(const canned_server&) = delete;
  canned_server& operator=(const canned_server&) = delete;

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  /// Each entry is the method, the target and the body, separated by spaces.
  std::vector<std::string> requests;

 private:
  void run() {
    while (!responses_.empty()) {
      tcp::socket socket(io_);
      acceptor_.accept(socket);
      boost::beast::flat_buffer buffer;
      while (!responses_.empty()) {
        http::request<http::string_body> request;
        boost::system::error_code error;
        http::read(socket, buffer, request, error);
        if (error) {
          break;
        }
        requests.push_back(std::string(request.method_string()) + " " +
                           std::string(request.target()) + " " +
                           request.body());
        const auto next = responses_.front();
        responses_.pop_front();
        if (next.cut) {
          break;
        }
        http::response<http::string_body> answer(
            static_cast<http::status>(next.status), 11);
        answer.body() = next.body;
        if (!next.era.empty()) {
          answer.set("Store-Era", next.era);
        }
        answer.prepare_payload();
        http::write(socket, answer, error);
        if (next.twice) {
          http::write(socket, answer, error);
        }
      }
    }
  }

  std::deque<response> responses_;
  asio::io_context io_;
  tcp::acceptor acceptor_{io_, {asio::ip::address_v4::loopback(), 0}};
  std::thread thread_;
};

struct fixture {
  /// Makes one call of the client, which the server answers with `response`.
  template <typename Result, typename Call>
  Result ask(canned_server::response response, Call call) {
    canned_server server({std::move(response)});
    asio::io_context io;
    store_client client(io, server.address());
    std::optional<Result> result;
    call(client, [&](const Result& got) { result = got; });
    while (!result) {
      io.run_one();
    }
    request = server.requests.empty() ? "" : server.requests[0];
    return *result;
  }

  std::string request;
};

// Guards against a list request or response that is encoded or parsed wrongly.
BOOST_FIXTURE_TEST_CASE(lists_are_read, fixture) {
  const auto read = ask<kv_read_result>(
      {200, R"({"items":[{"Key":"my/leader","Value":"bm9kZS0x","Rev":412,)"
            R"("CreateRevision":400,"Lease":77120}],"MorePages":true,)"
            R"("CurrentRev":530})"},
      [](auto& client, auto done) {
        client.list("servers/", "servers/i 1", read_freshness::stale, done);
      });
  BOOST_CHECK_EQUAL(
      request,
      "GET /v1/kv-range?Prefix=servers%2F&after=servers%2Fi%201&AllowStale=1 ");
  BOOST_CHECK(read.error == error_kind::none);
  BOOST_REQUIRE_EQUAL(read.items.size(), 1U);
  BOOST_CHECK_EQUAL(read.items[0].key, "my/leader");
  BOOST_CHECK_EQUAL(read.items[0].value, "node-1");
  BOOST_CHECK(read.items[0].changed == revision(412));
  BOOST_CHECK(read.items[0].lease == lease_id(77120));
  BOOST_CHECK(read.at == revision(530));
  BOOST_CHECK(read.more);
}

// Guards against a restored store that goes unnoticed, because an answer's era
// is not read, also from an answer that refuses the call.
BOOST_FIXTURE_TEST_CASE(eras_are_read_from_all_answers, fixture) {
  const auto answered = [](unsigned status, const char* body) {
    return canned_server::response{status, body, false, false, "3"};
  };
  const auto watch = [](auto& client, auto done) {
    client.watch("", revision(41), milliseconds(1), done);
  };
  const auto read = ask<kv_read_result>(
      answered(200, R"({"items":[],"CurrentRev":7})"),
      [](auto& client, auto done) {
        client.list("", "", read_freshness::linearizable, done);
      });
  BOOST_CHECK(read.era == store_era(3));
  BOOST_CHECK(ask<kv_watch_result>(answered(410, "{}"), watch).era ==
              store_era(3));
  BOOST_CHECK(ask<kv_watch_result>(answered(503, ""), watch).era ==
              store_era(3));
  const auto kept = ask<kv_lease_result>(
      answered(404, "{}"),
      [](auto& client, auto done) { client.keep_lease(lease_id(1), done); });
  BOOST_CHECK(kept.era == store_era(3));
  const auto written = ask<kv_write_result>(
      answered(200, R"({"Rev":8})"),
      [](auto& client, auto done) { client.write({}, done); });
  BOOST_CHECK(written.era == store_era(3));
  for (const auto* odd : {"", "x", "-1", "99999999999999999999"}) {
    const auto result = ask<kv_watch_result>(
        {200, R"({"events":[],"CurrentRev":7})", false, false, odd}, watch);
    BOOST_CHECK(result.error == error_kind::none);
    BOOST_CHECK(result.era == store_era{});
  }
}

// Guards against a missing item that is reported as an empty one.
BOOST_FIXTURE_TEST_CASE(single_items_are_read, fixture) {
  const auto call = [](auto& client, auto done) {
    client.get("op/config", read_freshness::linearizable, done);
  };
  const auto read = ask<kv_read_result>(
      {200, R"({"Key":"op/config","Value":"e30=","Rev":4,"CreateRevision":4,)"
            R"("Lease":0,"CurrentRev":9})"},
      call);
  BOOST_CHECK_EQUAL(request, "GET /v1/kv-key?Key=op%2Fconfig ");
  BOOST_REQUIRE_EQUAL(read.items.size(), 1U);
  BOOST_CHECK_EQUAL(read.items[0].value, "{}");
  BOOST_CHECK(ask<kv_read_result>({404, R"({"CurrentRev":9})"}, call).error ==
              error_kind::not_found);
}

// Guards against watches that miss removals or a lost history.
BOOST_FIXTURE_TEST_CASE(watches_are_read, fixture) {
  const auto call = [](auto& client, auto done) {
    client.watch("", revision(411), milliseconds(900), done);
  };
  const auto events = ask<kv_watch_result>(
      {200, R"({"events":[{"Key":"a","Value":"bm9kZS0x","Rev":412,)"
            R"("CreateRevision":412,"Lease":7},{"Key":"b","Rev":413,)"
            R"("Removed":true}],"CurrentRev":413})"},
      call);
  BOOST_CHECK_EQUAL(request, "GET /v1/kv-watch?Prefix=&after=411&WaitMs=900 ");
  BOOST_REQUIRE_EQUAL(events.items.size(), 2U);
  BOOST_CHECK(!events.items[0].removed);
  BOOST_CHECK(events.items[1].removed);
  BOOST_CHECK(events.at == revision(413));
  BOOST_CHECK(ask<kv_watch_result>({410, ""}, call).error ==
              error_kind::history_lost);
}

// Guards against a write that reports a certain outcome although its response
// was lost or malformed.
BOOST_FIXTURE_TEST_CASE(writes_say_what_is_certain, fixture) {
  const auto call = [](auto& client, auto done) {
    client.write({{{"my/leader", revision{}}},
                  {{"my/leader", "node-1", lease_id(77120)}},
                  {"old"}},
                 done);
  };
  const auto written = ask<kv_write_result>({200, R"({"Rev":412})"}, call);
  BOOST_CHECK_EQUAL(
      request,
      "POST /v1/kv-txn "
      R"({"Expect":[{"Key":"my/leader","Rev":0}],)"
      R"("Put":[{"Key":"my/leader","Value":"bm9kZS0x","Lease":77120}],)"
      R"("Delete":["old"]})");
  BOOST_CHECK(written.error == error_kind::none);
  BOOST_CHECK(written.changed == revision(412));
  const auto refused = ask<kv_write_result>({503, ""}, call);
  BOOST_CHECK(refused.error == error_kind::store_unavailable);
  BOOST_CHECK(refused.outcome == certainty::not_run);
  const auto clashed = ask<kv_write_result>({412, R"({"items":[]})"}, call);
  BOOST_CHECK(clashed.error == error_kind::conflict);
  BOOST_CHECK(clashed.outcome == certainty::not_run);
  const auto lost = ask<kv_write_result>({200, "", true}, call);
  BOOST_CHECK(lost.error != error_kind::none);
  BOOST_CHECK(lost.outcome == certainty::unknown);
  const auto garbled = ask<kv_write_result>({200, "{"}, call);
  BOOST_CHECK(garbled.error != error_kind::none);
  BOOST_CHECK(garbled.outcome == certainty::unknown);
}

// Guards against lease requests or responses that are encoded or parsed
// wrongly.
BOOST_FIXTURE_TEST_CASE(leases_are_read, fixture) {
  const auto granted = ask<kv_lease_result>(
      {200, R"({"Lease":77120,"TtlMs":3000})"}, [](auto& client, auto done) {
        client.grant_lease(milliseconds(3000), done);
      });
  BOOST_CHECK_EQUAL(request, R"(POST /v1/kv-lease {"TtlMs":3000})");
  BOOST_CHECK(granted.id == lease_id(77120));
  BOOST_CHECK(granted.time_to_live == milliseconds(3000));
  const auto kept = ask<kv_lease_result>(
      {200, R"({"TtlMs":3000})"},
      [](auto& client, auto done) { client.keep_lease(lease_id(7), done); });
  BOOST_CHECK_EQUAL(request, "POST /v1/kv-keep/7 ");
  BOOST_CHECK(kept.id == lease_id(7));
  const auto ended = ask<kv_lease_result>(
      {404, ""},
      [](auto& client, auto done) { client.end_lease(lease_id(7), done); });
  BOOST_CHECK_EQUAL(request, "DELETE /v1/kv-lease-end/7 ");
  BOOST_CHECK(ended.error == error_kind::not_found);
}

// Guards against a second copy of an answer that the next call takes for its
// own.
BOOST_AUTO_TEST_CASE(copies_of_answers_are_dropped) {
  canned_server server(
      {{200, R"({"Key":"a","Value":"e30=","Rev":4,"CurrentRev":9})", false,
        true},
       {200, R"({"Key":"b","Value":"e30=","Rev":5,"CurrentRev":9})"}});
  asio::io_context io;
  store_client client(io, server.address());
  for (const std::string key : {"a", "b"}) {
    std::optional<kv_read_result> read;
    client.get(key, read_freshness::linearizable,
               [&](const kv_read_result& got) { read = got; });
    while (!read) {
      io.run_one();
    }
    BOOST_REQUIRE_EQUAL(read->items.size(), 1U);
    BOOST_CHECK_EQUAL(read->items[0].key, key);
    // The copy arrives while no call is in progress.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

// Guards against malformed responses that are treated as empty ones.
BOOST_AUTO_TEST_CASE(unreadable_answers_are_errors) {
  for (const std::string body :
       {"", "{", "[]", "{}", R"({"items":[],"MorePages":false})",
        R"({"items":[{"Key":"a"}],"CurrentRev":1})",
        R"({"items":{},"CurrentRev":1})"}) {
    const http_answer answer{error_kind::none, true, 200, body};
    BOOST_CHECK_MESSAGE(
        parse_read_result(answer).error == error_kind::store_unavailable, body);
    BOOST_CHECK(parse_watch_result(answer).error ==
                error_kind::store_unavailable);
  }
  for (const unsigned status : {429U, 503U, 500U, 302U}) {
    BOOST_CHECK(
        parse_read_result({error_kind::none, true, status, "{}"}).error ==
        error_kind::store_unavailable);
  }
}

}  // namespace
}  // namespace rosemarydrum::platform
