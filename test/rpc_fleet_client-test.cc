#define BOOST_TEST_MODULE rpc_fleet_client
#include "command/rpc_fleet_client.h"

#include <capnp/ez-rpc.h>
#include <kj/async-io.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "peer_rpc.capnp.h"
#include "rosemarydrum/balancer/peer_message.h"

namespace rosemarydrum {
namespace {

constexpr std::uint64_t event_count = 5;

/// Fake balancer with five events, two on a page.
class balancer_rpc final : public wire::Peer::Server {
 public:
  explicit balancer_rpc(bool malformed) : malformed_(malformed) {}

  kj::Promise<void> status(StatusContext context) override {
    auto out = context.getResults().initStatus();
    out.setId(7);
    out.setRun(70);
    out.setDataCentre(2);
    out.setReady(true);
    out.setConfiguration(12);
    out.setFlows(300);
    out.initDecided(1).set(0, 3);
    out.initLive(2).set(1, 8);
    return kj::READY_NOW;
  }

  kj::Promise<void> events(EventsContext context) override {
    events_page page;
    for (auto next = std::max<std::uint64_t>(context.getParams().getFirst(), 1);
         next <= event_count && page.events.size() < 2; ++next) {
      event_record event;
      event.id = event_id::flow_bound;
      event.sequence = next;
      page.events.push_back(event);
    }
    auto encoded =
        encode(peer_message{{balancer_id(7), incarnation(70)}, {}, 0, page});
    encoded.resize(malformed_ ? encoded.size() / 2 : encoded.size());
    context.getResults().setPage(kj::arrayPtr(encoded.data(), encoded.size()));
    return kj::READY_NOW;
  }

 private:
  bool malformed_;
};

balancer_entry entry_of(unsigned rpc_port) {
  return {balancer_id(7),
          {0x7f000001, static_cast<std::uint16_t>(rpc_port - 1)}};
}

/// Serves RPC on a loopback port in a separate thread.
class rpc_server_thread {
 public:
  explicit rpc_server_thread(bool malformed) {
    std::promise<unsigned> port;
    auto known = port.get_future();
    thread_ = std::thread([this, malformed, &port] {
      capnp::EzRpcServer server(kj::heap<balancer_rpc>(malformed),
                                "127.0.0.1:0");
      auto& scope = server.getWaitScope();
      port.set_value(server.getPort().wait(scope));
      auto& timer = server.getIoProvider().getTimer();
      while (!stopped_) {
        timer.afterDelay(5 * kj::MILLISECONDS).wait(scope);
      }
    });
    port_ = known.get();
  }
  ~rpc_server_thread() {
    stopped_ = true;
    thread_.join();
  }
  rpc_server_thread(const rpc_server_thread&) = delete;
  rpc_server_thread& operator=(const rpc_server_thread&) = delete;

  balancer_entry entry() const { return entry_of(port_); }

 private:
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
  unsigned port_ = 0;
};

/// A bound port. Connections are refused, or accepted by the kernel and never
/// answered.
class unresponsive_port {
 public:
  explicit unresponsive_port(bool listens) : socket_(context_) {
    using boost::asio::ip::tcp;
    socket_.open(tcp::v4());
    socket_.bind({boost::asio::ip::address_v4::loopback(), 0});
    if (listens) {
      socket_.listen();
    }
  }
  balancer_entry entry() const {
    return entry_of(socket_.local_endpoint().port());
  }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor socket_;
};

// Guards against a status field that is lost in transfer.
BOOST_AUTO_TEST_CASE(status_is_read) {
  const rpc_server_thread balancer(false);
  const std::vector<balancer_entry> all = {balancer.entry()};
  const auto answers = rpc_fleet_client().status(all, seconds(20));
  BOOST_REQUIRE_EQUAL(answers.size(), 1U);
  BOOST_REQUIRE_MESSAGE(answers[0].value, answers[0].problem);
  const auto& status = *answers[0].value;
  BOOST_CHECK(status.self == (balancer_run{balancer_id(7), incarnation(70)}));
  BOOST_CHECK(status.data_centre == data_centre_id(2));
  BOOST_CHECK(status.state.ready);
  BOOST_CHECK(!status.state.leaving);
  BOOST_CHECK(status.state.configuration == revision(12));
  BOOST_CHECK_EQUAL(status.state.flows, 300U);
  BOOST_CHECK(status.state.decided == std::vector{shard_id(3)});
  BOOST_CHECK_EQUAL(status.state.live.size(), 2U);
}

// Guards against a timeline that ends after its first page.
BOOST_AUTO_TEST_CASE(all_pages_of_events_are_read) {
  const rpc_server_thread balancer(false);
  const std::vector<balancer_entry> all = {balancer.entry()};
  const auto answers = rpc_fleet_client().events(all, seconds(20));
  BOOST_REQUIRE_MESSAGE(answers[0].value, answers[0].problem);
  const auto& events = *answers[0].value;
  BOOST_REQUIRE_EQUAL(events.size(), event_count);
  for (std::uint64_t i = 0; i < event_count; ++i) {
    BOOST_CHECK_EQUAL(events[i].sequence, i + 1);
  }
}

// Guards against one unreachable, silent or faulty balancer that hides the
// answers of the others.
BOOST_AUTO_TEST_CASE(failing_balancers_do_not_hide_others) {
  const rpc_server_thread healthy(false);
  const rpc_server_thread faulty(true);
  const unresponsive_port refusing(false);
  const unresponsive_port silent(true);
  const std::vector<balancer_entry> all = {refusing.entry(), silent.entry(),
                                           faulty.entry(), healthy.entry()};
  const auto answers = rpc_fleet_client().events(all, seconds(2));
  BOOST_REQUIRE_EQUAL(answers.size(), 4U);
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_CHECK(!answers[i].value);
    BOOST_CHECK(!answers[i].problem.empty());
    BOOST_CHECK(answers[i].from == all[i]);
  }
  BOOST_REQUIRE_MESSAGE(answers[3].value, answers[3].problem);
  BOOST_CHECK_EQUAL(answers[3].value->size(), event_count);
}

}  // namespace
}  // namespace rosemarydrum
