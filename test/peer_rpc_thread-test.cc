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

/// A peer RPC thread with its sockets. The test is its data thread.
class rpc_process {
 public:
  rpc_process()
      : bound_(
            bind_listeners(context_, context_, loopback, loopback, loopback)),
        address_(from_asio(bound_.data.local_endpoint())),
        thread_(bound_.rpc.release(), joined),
        runner_([this] { thread_.run(); }) {}
  ~rpc_process() {
    thread_.stop();
    runner_.join();
  }
  rpc_process(const rpc_process&) = delete;
  rpc_process& operator=(const rpc_process&) = delete;

  endpoint address() const { return address_; }
  void know(balancer_id id, const endpoint& address) {
    joined.data_to_rpc.push(peer_addresses{{{id, address}}});
  }
  std::vector<received_message> received() {
    joined.rpc_to_data.drain([this](rpc_event&& event) {
      if (auto* message = std::get_if<received_message>(&event)) {
        received_.push_back(std::move(*message));
      }
    });
    return received_;
  }

  rings joined;

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

// Guards against a configuration that does not fit a datagram and is lost, and
// against a message that is taken from a sender that is not configured.
BOOST_AUTO_TEST_CASE(large_message_arrives_only_from_a_configured_peer) {
  rpc_process sender;
  rpc_process receiver;
  constexpr balancer_id sender_id{1};
  receiver.know(sender_id, sender.address());
  sender.know(balancer_id(2), receiver.address());
  sender.joined.data_to_rpc.push(
      large_message{balancer_id(2), encode(large(balancer_id(9), 'x'))});
  const auto genuine = large(sender_id, 'y');
  sender.joined.data_to_rpc.push(
      large_message{balancer_id(2), encode(genuine)});
  BOOST_REQUIRE(wait_for([&] { return !receiver.received().empty(); }));
  const auto all = receiver.received();
  BOOST_REQUIRE_EQUAL(all.size(), 1U);
  BOOST_CHECK(all[0].message == genuine);
  BOOST_CHECK(all[0].from == sender.address());
}

// Guards against a connection that has gone silent and swallows all that is
// sent after it.
BOOST_AUTO_TEST_CASE(silent_connection_is_replaced) {
  boost::asio::io_context context;
  tcp::acceptor mute(context, to_tcp(loopback));
  endpoint data = from_asio(mute.local_endpoint());
  --data.port;
  rpc_process sender;
  sender.know(balancer_id(2), data);
  sender.joined.data_to_rpc.push(
      large_message{balancer_id(2), encode(large(balancer_id(1), 'x'))});
  auto first = mute.accept();
  const auto start = steady_clock::now();
  // Nothing is ever read from or written to `first`.
  auto second = mute.accept();
  const auto passed = steady_clock::now() - start;
  BOOST_CHECK(passed >= std::chrono::seconds(2));
  BOOST_CHECK(passed < std::chrono::seconds(10));
  // The message is sent again on the new connection.
  std::vector<char> bytes(400'000);
  BOOST_CHECK_EQUAL(boost::asio::read(second, boost::asio::buffer(bytes)),
                    bytes.size());
}

// Guards against connections that are never used and are never given back.
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

// Guards against an operators' command that gets no or another call's answer.
BOOST_AUTO_TEST_CASE(status_and_events_come_from_the_data_thread) {
  rpc_process server;
  std::atomic<bool> ended = false;
  std::thread data([&] {
    while (!ended) {
      server.joined.rpc_to_data.drain([&](rpc_event&& event) {
        if (const auto* status = std::get_if<status_query>(&event)) {
          status_reply reply{status->query,
                             {balancer_id(3), incarnation(4)},
                             data_centre_id(5),
                             {}};
          reply.status.ready = true;
          reply.status.decided = {shard_id(1), shard_id(2)};
          server.joined.data_to_rpc.push(std::move(reply));
        } else if (const auto* events = std::get_if<events_query>(&event)) {
          server.joined.data_to_rpc.push(
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

// Guards against malformed bytes on the RPC port that end the process.
BOOST_AUTO_TEST_CASE(garbage_does_no_harm) {
  rpc_process server;
  boost::asio::io_context context;
  for (std::uint8_t fill : {0x00, 0x7f, 0xff}) {
    tcp::socket client(context);
    client.connect(to_tcp(rpc_address(server.address())));
    const std::vector<std::uint8_t> garbage(4096, fill);
    boost::system::error_code ignored;
    client.write_some(boost::asio::buffer(garbage), ignored);
  }
  capnp::EzRpcClient client("127.0.0.1", rpc_address(server.address()).port);
  client.getMain<wire::Peer>().pingRequest().send().wait(client.getWaitScope());
}

}  // namespace
}  // namespace rosemarydrum
