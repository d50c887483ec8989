#define BOOST_TEST_MODULE balancer
#include "rosemarydrum/balancer/balancer.h"

#include <boost/test/unit_test.hpp>

#include "rosemarydrum/configuration/config_codec.h"
#include "rosemarydrum/configuration/config_sync.h"
#include "rosemarydrum/error_kind.h"

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};
constexpr endpoint service_address{0x0a000001, 80};
constexpr endpoint caller_address{0x0a030001, 4000};

document service_document(std::uint64_t changed, bool is_approved) {
  service value;
  value.name = "desk";
  value.id = service_id(1);
  value.owner = "owner";
  value.address = service_address;
  if (is_approved) {
    value.approvals.push_back(
        {caller_id(1), "team", {0x0a030000, 24}, true, 100, 1000});
  }
  return {service_key(value.name), encode_document(value, {}),
          revision(changed)};
}

struct fixture {
  /// Sends an idempotent request; returns the errors of the refusals.
  std::vector<error_kind> request(time_point now) {
    packet sent;
    sent.header.kind = packet_kind::request;
    sent.header.flow = flow_id(1);
    sent.header.request = request_id(1);
    sent.header.idempotent = true;
    sent.header.opens_flow = true;
    balancer_output out;
    tested.on_fabric(encode({caller_address, service_address}, encode(sent)),
                     now, out);
    std::vector<error_kind> refusals;
    for (const auto& each : out.to_callers) {
      refusals.push_back(each.datagram.header.error);
    }
    return refusals;
  }
  void read_store(const document& value, time_point now) {
    balancer_output out;
    tested.on_store_documents(std::vector{value}, now, out);
  }
  void hear_peer(std::uint64_t revision_of_peer, time_point now) {
    heartbeat beat;
    beat.sequence = ++last_sequence;
    beat.configuration = revision(revision_of_peer);
    balancer_output out;
    tested.on_peer(peer.address,
                   {.from = {peer.id, incarnation(7)}, .body = beat}, now, out);
    tested.tick(now, out);
  }
  void tick(time_point now) {
    balancer_output out;
    tested.tick(now, out);
  }

  std::uint64_t last_sequence = 0;
  balancer_entry peer{balancer_id(2), {0x0a020002, 7100}};
  balancer tested{{.self = {balancer_id(1), incarnation(5)},
                   .data_centre = data_centre_id(1),
                   .token_secret = bytes(16, 1),
                   .seed = 1,
                   .bootstrap = {peer}},
                  start};
};

// Guards against callers that are told that they are not approved by a balancer
// that has just started and has not read the configuration.
BOOST_FIXTURE_TEST_CASE(a_new_balancer_refuses_no_caller, fixture) {
  BOOST_CHECK(request(start).empty());
  read_store(service_document(1, false), start + milliseconds(10));
  BOOST_CHECK(request(start + milliseconds(20)).empty());
  tick(start + ready_delay);
  BOOST_CHECK(request(start + ready_delay) ==
              std::vector{error_kind::not_approved});
}

// Guards against the same answer of a balancer that a peer is ahead of, and
// against callers that never get one because a peer stays ahead.
BOOST_FIXTURE_TEST_CASE(a_balancer_that_is_behind_refuses_no_caller, fixture) {
  read_store(service_document(1, false), start);
  tick(start + ready_delay);
  const auto behind_at = start + seconds(2);
  hear_peer(2, behind_at);
  BOOST_CHECK(request(behind_at + milliseconds(10)).empty());
  hear_peer(2, behind_at + max_sync_time);
  BOOST_CHECK(request(behind_at + max_sync_time) ==
              std::vector{error_kind::not_approved});
}

}  // namespace
}  // namespace rosemarydrum
