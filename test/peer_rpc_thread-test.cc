#define BOOST_TEST_MODULE peer_rpc_thread
#include "daemon/peer_rpc_thread.h"

#include <capnp/ez-rpc.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <thread>

#include "daemon/listeners.h"
#include "io/addresses.h"
#include "peer_rpc.capnp.h"

namespace rosemarydrum {
namespace {

using boost::asio::ip::tcp;
using std::chrono::steady_clock;

constexpr endpoint loopback{0x7f000001, 0};

/// Runs a peer RPC thread with bound sockets. The test acts as its data thread.
class rpc_process {
 public:
  rpc_process()
      : bound_(
            bind_listeners(context_, context_, loopback, loopback, loopback)),
        address_(from_asio(bound_.data.local_endpoint())),
        thread_(bound_.rpc.release(), shared_rings),
        runner_([this] { thread_.run(); }) {}
  ~rpc_process() {
    thread_.stop();
    runner_.join();
  }
  rpc_process(const rpc_process&) = delete;
  rpc_process& operator=(const rpc_process&) = delete;

  endpoint address() const { return address_; }
  void set_peer_address(balancer_id id, const endpoint& address) {
    shared_rings.data_to_rpc.push(peer_addresses{{{id, address}}});
  }
  std::vector<received_message> received() {
    shared_rings.rpc_to_data.drain([this](rpc_event&& event) {
      if (auto* message = std::get_if<received_message>(&event)) {
        received_.push_back(std::move(*message));
      }
    });
    return received_;
  }

  thread_rings shared_rings;

 private:
  boost::asio::io_context context_;
  listeners bound_;
  endpoint address_;
  peer_rpc_thread thread_;
  std::thread runner_;
  std::vector<received_message> received_;
};

bool wait_for(const std::function<bool()>& reached) {
  const auto end = steady_clock::now() + std::chrono::seconds(20);
  while (steady_clock::now() < end) {
    if (reached()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

peer_message large(balancer_id from, char fill) {
  peer_message message;
  message.from = {from, incarnation(5)};
  message.body =
      config_push{{{"service/a", std::string(500'000, fill), revision(7)}}};
  return message;
}

// Guards against losing a configuration that is too large for a datagram, and
// against accepting a message whose sender is not a configured peer.
BOOST_AUTO_TEST_CASE(large_message_arrives_only_from_a_configured_peer) {
  rpc_process sender;
  rpc_process receiver;
  constexpr balancer_id sender_id{1};
  receiver.set_peer_address(sender_id, sender.address());
  sender.set_peer_address(balancer_id(2), receiver.address());
  sender.shared_rings.data_to_rpc.push(
      large_message{balancer_id(2), encode(large(balancer_id(9), 'x'))});
  const auto genuine = large(sender_id, 'y');
  sender.shared_rings.data_to_rpc.push(
      large_message{balancer_id(2), encode(genuine)});
  BOOST_REQUIRE(wait_for([&] { return !receiver.received().empty(); }));
  const auto all = receiver.received();
  BOOST_REQUIRE_EQUAL(all.size(), 1U);
  BOOST_CHECK(all[0].message == genuine);
  BOOST_CHECK(all[0].from == sender.address());
}

// Guards against keeping a connection whose peer no longer responds, so that
// all later messages are lost.
BOOST_AUTO_TEST_CASE(silent_connection_is_replaced) {
  boost::asio::io_context context;
  tcp::acceptor silent_peer(context, to_tcp(loopback));
  endpoint data = from_asio(silent_peer.local_endpoint());
  --data.port;
  rpc_process sender;
  sender.set_peer_address(balancer_id(2), data);
  sender.shared_rings.data_to_rpc.push(
      large_message{balancer_id(2), encode(large(balancer_id(1), 'x'))});
  auto first = silent_peer.accept();
  const auto start = steady_clock::now();
  // Nothing is ever read from or written to `first`.
  auto second = silent_peer.accept();
  const auto elapsed = steady_clock::now() - start;
  BOOST_CHECK(elapsed >= std::chrono::seconds(2));
  BOOST_CHECK(elapsed < std::chrono::seconds(10));
  // The message is sent again on the new connection.
  std::vector<char> bytes(400'000);
  BOOST_CHECK_EQUAL(boost::asio::read(second, boost::asio::buffer(bytes)),
                    bytes.size());
}

// Guards against unused connections that are never closed.
BOOST_AUTO_TEST_CASE(server_closes_a_silent_connection) {
  rpc_process server;
  boost::asio::io_context context;
  tcp::socket silent(context);
  silent.connect(to_tcp(rpc_address(server.address())));
  char byte = 0;
  boost::system::error_code error;
  const auto start = steady_clock::now();
  silent.read_some(boost::asio::buffer(&byte, 1), error);
  BOOST_CHECK(error == boost::asio::error::eof);
  BOOST_CHECK(steady_clock::now() - start < std::chrono::seconds(10));
}

// Guards against an operator's call that gets no answer or that of another
// call.
BOOST_AUTO_TEST_CASE(status_and_events_come_from_the_data_thread) {
  rpc_process server;
  std::atomic<bool> ended = false;
  std::thread data([&] {
    while (!ended) {
      server.shared_rings.rpc_to_data.drain([&](rpc_event&& event) {
        if (const auto* status = std::get_if<status_query>(&event)) {
          status_reply reply{status->query,
                             {balancer_id(3), incarnation(4)},
                             data_centre_id(5),
                             {}};
          reply.status.ready = true;
          reply.status.decided = {shard_id(1), shard_id(2)};
          server.shared_rings.data_to_rpc.push(std::move(reply));
        } else if (const auto* events = std::get_if<events_query>(&event)) {
          server.shared_rings.data_to_rpc.push(
              events_reply{events->query, bytes{1, 2, 3}});
        }
      });
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  });
  {
    capnp::EzRpcClient client("127.0.0.1", rpc_address(server.address()).port);
    auto peer = client.getMain<wire::Peer>();
    auto& scope = client.getWaitScope();
    peer.pingRequest().send().wait(scope);
    auto call = peer.eventsRequest();
    call.setFirst(17);
    auto waiting = call.send();
    const auto answer = peer.statusRequest().send().wait(scope);
    const auto status = answer.getStatus();
    BOOST_CHECK_EQUAL(status.getId(), 3U);
    BOOST_CHECK_EQUAL(status.getRun(), 4U);
    BOOST_CHECK_EQUAL(status.getDataCentre(), 5U);
    BOOST_CHECK(status.getReady());
    BOOST_CHECK_EQUAL(status.getDecided().size(), 2U);
    BOOST_CHECK_EQUAL(waiting.wait(scope).getPage().size(), 3U);
  }
  ended = true;
  data.join();
}

// Guards against malformed bytes on the RPC port that terminate the process.
BOOST_AUTO_TEST_CASE(malformed_bytes_do_not_end_the_process) {
  rpc_process server;
  boost::asio::io_context context;
  for (std::uint8_t fill : {0x00, 0x7f, 0xff}) {
    tcp::socket client(context);
    client.connect(to_tcp(rpc_address(server.address())));
    const std::vector<std::uint8_t> malformed(4096, fill);
    boost::system::error_code ignored;
    client.write_some(boost::asio::buffer(malformed), ignored);
  }
  capnp::EzRpcClient client("127.0.0.1", rpc_address(server.address()).port);
  client.getMain<wire::Peer>().pingRequest().send().wait(client.getWaitScope());
}

}  // namespace
}  // namespace rosemarydrum
