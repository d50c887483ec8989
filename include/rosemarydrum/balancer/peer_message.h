#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/events/event_record.h"
#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

/// The messages between balancers.
namespace rosemarydrum {

/// An upstream that may not have all its slots yet, as its decider knows it.
struct upstream_limit {
  service_id service{};
  upstream_run upstream;
  std::uint16_t limit = 0;
  friend bool operator==(const upstream_limit&,
                         const upstream_limit&) = default;
};

/// Sent to each member of the cell every 300 ms and at once when the leases
/// change. It acknowledges the receiver's heartbeats and answers the lease
/// requests of the one named by `echo`.
struct heartbeat {
  std::uint64_t sequence = 0;
  /// The last sequence received from the receiver's present run, or 0.
  std::uint64_t echo = 0;
  data_centre_id data_centre{};
  revision configuration{};
  bool leaving = false;
  /// Shards that the sender asks the receiver to grant it.
  std::vector<shard_id> wanted;
  /// Shards that the sender grants the receiver, of those in `echo`.
  std::vector<shard_id> granted;
  /// Shards that the sender decides now.
  std::vector<shard_id> held;
  /// The upstreams of those shards that are not warm.
  std::vector<upstream_limit> limits;
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// Owner to decider: a request wants to run.
struct slot_ask {
  /// Chosen by the asker; answers name it. Asked again with the same number
  /// when the answer is lost.
  std::uint64_t ask = 0;
  service_id service{};
  flow_id flow{};
  caller_id caller{};
  request_id request{};
  std::uint8_t priority = 0;
  bool idempotent = false;
  /// The flow is new: no balancer has bound it to an upstream yet.
  bool opens_flow = false;
  /// The flow's upstream; 0 if any will do.
  upstream_id pinned{};
  /// Upstreams that this request has tried.
  std::vector<upstream_id> avoid;
  std::uint32_t time_left_ms = 0;
  /// The asker's data centre; others than the decider's ask for spill.
  data_centre_id data_centre{};
  /// Another data centre may take it, so that it need not wait while nothing of
  /// this one may be granted.
  bool may_spill = false;
  friend bool operator==(const slot_ask&, const slot_ask&) = default;
};

/// Decider to owner: a grant, or `error` and no grant.
struct slot_answer {
  std::uint64_t ask = 0;
  error_kind error = error_kind::none;
  grant_id grant{};
  service_id service{};
  upstream_id upstream{};
  /// The upstream's run as the decider knows it, 0 if not known.
  incarnation upstream_run{};
  /// The request must have ended this long after the ask.
  std::uint32_t run_time_ms = 0;
  /// With `no_capacity`: only for now; an ask without `may_spill` would wait.
  bool may_wait = false;
  friend bool operator==(const slot_answer&, const slot_answer&) = default;
};

/// How an attempt at an upstream ended.
enum class attempt_outcome : std::uint8_t {
  answered = 0,
  /// Granted and not sent.
  unused,
  shed,
  rejected_late,
  timed_out,
  /// The upstream refused the datagram or its address.
  reset,
};

/// Owner to decider: the slot is free, and what the upstream showed.
struct slot_release {
  grant_id grant{};
  service_id service{};
  upstream_id upstream{};
  incarnation upstream_run{};
  attempt_outcome outcome = attempt_outcome::answered;
  std::uint32_t latency_us = 0;
  std::uint16_t reported_load = 0;
  friend bool operator==(const slot_release&, const slot_release&) = default;
};

/// A slot in use.
struct running_grant {
  grant_id grant{};
  service_id service{};
  upstream_id upstream{};
  std::uint32_t run_time_left_ms = 0;
  friend bool operator==(const running_grant&, const running_grant&) = default;
};

/// To a new decider: all grants of one shard that the sender still uses.
struct grants_report {
  shard_id shard{};
  std::vector<running_grant> grants;
  friend bool operator==(const grants_report&, const grants_report&) = default;
};

/// Leaving decider to its successor: everything that is granted.
struct lease_handover {
  shard_id shard{};
  std::vector<running_grant> grants;
  std::vector<upstream_limit> limits;
  friend bool operator==(const lease_handover&,
                         const lease_handover&) = default;
};

/// Owner to witness: keep a record before the request is sent.
struct record_ask {
  request_key request;
  unix_ms token_expires = 0;
  friend bool operator==(const record_ask&, const record_ask&) = default;
};

struct record_answer {
  request_key request;
  /// False: the witness has closed the request; it must not be sent.
  bool recorded = false;
  friend bool operator==(const record_answer&, const record_answer&) = default;
};

/// Entry balancer to witness: the owner cannot be reached.
struct close_ask {
  request_key request;
  /// The owner's run and the witness's run that the token names.
  balancer_run owner;
  balancer_run witness;
  unix_ms token_expires = 0;
  friend bool operator==(const close_ask&, const close_ask&) = default;
};

struct close_answer {
  request_key request;
  /// True: the request has not been sent and never will be.
  bool closed = false;
  friend bool operator==(const close_answer&, const close_answer&) = default;
};

/// Entry balancer to owner: a caller's packet as it came.
struct request_forward {
  /// Hops so far; at most 1.
  std::uint8_t hops = 0;
  fabric_envelope envelope;
  bytes datagram;
  friend bool operator==(const request_forward&,
                         const request_forward&) = default;
};

/// Owner to entry balancer: the forwarded request has arrived.
struct forward_ack {
  request_key request;
  friend bool operator==(const forward_ack&, const forward_ack&) = default;
};

struct flow_ask {
  flow_key flow;
  friend bool operator==(const flow_ask&, const flow_ask&) = default;
};

struct flow_answer {
  flow_key flow;
  /// Upstream 0: the sender does not know the flow.
  upstream_run upstream;
  friend bool operator==(const flow_answer&, const flow_answer&) = default;
};

/// Bindings that only the sender knows: 4 bytes of fingerprint and the index
/// of the upstream in its service's list.
struct flow_copy {
  service_id service{};
  std::vector<std::uint32_t> fingerprints;
  std::vector<std::uint16_t> upstreams;
  friend bool operator==(const flow_copy&, const flow_copy&) = default;
};

struct config_push {
  std::vector<document> documents;
  friend bool operator==(const config_push&, const config_push&) = default;
};

/// Asks for all documents changed after `after`.
struct config_pull {
  revision after{};
  friend bool operator==(const config_pull&, const config_pull&) = default;
};

/// Asks for the time line from `first` on.
struct events_pull {
  std::uint64_t first = 0;
  friend bool operator==(const events_pull&, const events_pull&) = default;
};

struct events_page {
  std::vector<event_record> events;
  friend bool operator==(const events_page&, const events_page&) = default;
};

using peer_body =
    std::variant<heartbeat, slot_ask, slot_answer, slot_release, grants_report,
                 lease_handover, record_ask, record_answer, close_ask,
                 close_answer, request_forward, forward_ack, flow_ask,
                 flow_answer, flow_copy, config_push, config_pull, events_pull,
                 events_page>;

/// A message with its sender and the run of the receiver that it is meant
/// for (0: any). A receiver of another run drops it.
struct peer_message {
  balancer_run from;
  incarnation to_run{};
  /// The sender's logical time, for the order of the time line.
  std::uint64_t logical_time = 0;
  peer_body body;
  friend bool operator==(const peer_message&, const peer_message&) = default;
};

inline constexpr std::size_t max_peer_datagram = 1200;
inline constexpr std::size_t max_peer_message = 1 << 20;

/// Cap'n Proto encoding of `message` (schema/peer.capnp).
bytes encode(const peer_message& message);

/// Nullopt if the bytes are not a message or any size is out of bounds.
std::optional<peer_message> decode_peer_message(bytes_view encoded);

}  // namespace rosemarydrum
