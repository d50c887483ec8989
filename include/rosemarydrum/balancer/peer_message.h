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

/// Messages between balancers.
namespace rosemarydrum {

/// The slot limit of an upstream that is not warm, as its decider knows it.
struct upstream_limit {
  service_id service{};
  upstream_run upstream;
  std::uint16_t limit = 0;
  friend bool operator==(const upstream_limit&,
                         const upstream_limit&) = default;
};

/// Sent to each member of the cell (the balancers of one data centre) every
/// 300 ms, and at once when leases change. Acknowledges the receiver's
/// heartbeat `echo` and answers its lease requests. Also sent to some balancers
/// of other data centres, without lease fields and limits.
struct heartbeat {
  std::uint64_t sequence = 0;
  /// The last sequence received from the receiver's current run, or 0.
  std::uint64_t echo = 0;
  data_centre_id data_centre{};
  revision configuration{};
  bool leaving = false;
  /// Shards whose lease the sender requests.
  std::vector<shard_id> wanted;
  /// Shards that the sender grants the receiver, of those that its heartbeat
  /// `echo` requested.
  std::vector<shard_id> granted;
  /// Shards whose lease the sender holds.
  std::vector<shard_id> held;
  /// The upstreams of the `held` shards that are not warm.
  std::vector<upstream_limit> limits;
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// Owner to decider: requests a slot for a request.
struct slot_ask {
  /// Chosen by the sender and repeated in the answer. The sender repeats an
  /// unanswered ask with the same number.
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
  /// Upstreams that the request has tried already.
  std::vector<upstream_id> avoid;
  std::uint32_t time_left_ms = 0;
  /// The sender's data centre; if it is not the decider's, the ask is for
  /// spill-over capacity.
  data_centre_id data_centre{};
  /// The request may go to another data centre. While the decider may grant
  /// nothing, it answers such an ask at once instead of queueing it.
  bool may_spill = false;
  friend bool operator==(const slot_ask&, const slot_ask&) = default;
};

/// Decider to owner: a grant, or `error` without one.
struct slot_answer {
  std::uint64_t ask = 0;
  error_kind error = error_kind::none;
  grant_id grant{};
  service_id service{};
  upstream_id upstream{};
  /// The upstream's run as the decider knows it, 0 if not known.
  incarnation upstream_run{};
  /// The request must have ended this long after the ask was sent.
  std::uint32_t run_time_ms = 0;
  /// With `no_capacity`: the decider may grant nothing yet; an ask without
  /// `may_spill` would have been queued.
  bool may_wait = false;
  friend bool operator==(const slot_answer&, const slot_answer&) = default;
};

/// How an attempt at an upstream ended.
enum class attempt_outcome : std::uint8_t {
  answered = 0,
  /// Not sent to the upstream.
  unused,
  shed,
  rejected_late,
  timed_out,
  /// The upstream refused the datagram or its address.
  reset,
};

/// Owner to decider: the slot is free; reports the result of the attempt.
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

/// A grant in use.
struct running_grant {
  grant_id grant{};
  service_id service{};
  upstream_id upstream{};
  std::uint32_t run_time_left_ms = 0;
  friend bool operator==(const running_grant&, const running_grant&) = default;
};

/// To a new decider: all grants of one shard that the sender is using.
struct grants_report {
  shard_id shard{};
  std::vector<running_grant> grants;
  friend bool operator==(const grants_report&, const grants_report&) = default;
};

/// Leaving decider to its successor: all grants of a shard that are in use, and
/// its upstreams that are not warm.
struct lease_handover {
  shard_id shard{};
  std::vector<running_grant> grants;
  std::vector<upstream_limit> limits;
  friend bool operator==(const lease_handover&,
                         const lease_handover&) = default;
};

/// Owner to witness: asks for a second record of a non-idempotent request
/// before sending it to an upstream.
struct record_ask {
  request_key request;
  unix_ms token_expires = 0;
  friend bool operator==(const record_ask&, const record_ask&) = default;
};

struct record_answer {
  request_key request;
  /// False: the witness has closed the request or cannot record it; it must not
  /// be sent.
  bool recorded = false;
  friend bool operator==(const record_answer&, const record_answer&) = default;
};

/// Entry balancer to witness: the owner cannot be reached; asks the witness to
/// refuse any later record of the request.
struct close_ask {
  request_key request;
  /// The owner and the witness that the token names.
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

/// Entry balancer to owner: a caller's packet, unchanged.
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
  /// Id 0 if the sender does not know the flow.
  upstream_run upstream;
  friend bool operator==(const flow_answer&, const flow_answer&) = default;
};

/// Flow bindings that only the sender knows. Entry i of both lists is one
/// binding: a 4-byte fingerprint of the flow, and the index of the upstream in
/// its service's list.
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

/// Requests all documents changed after revision `after`.
struct config_pull {
  revision after{};
  friend bool operator==(const config_pull&, const config_pull&) = default;
};

/// Requests the receiver's events from sequence `first` on.
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

/// A message with its sender and the incarnation of the receiver.
struct peer_message {
  balancer_run from;
  /// A receiver of another incarnation drops the message; 0: any.
  incarnation to_run{};
  /// The sender's logical clock, for ordering the events of all balancers.
  std::uint64_t logical_time = 0;
  peer_body body;
  friend bool operator==(const peer_message&, const peer_message&) = default;
};

/// Bytes of an encoded message that is sent as a datagram; longer ones go over
/// the RPC connection.
inline constexpr std::size_t max_peer_datagram = 1200;
/// Bytes of any encoded message.
inline constexpr std::size_t max_peer_message = 1 << 20;

/// Encodes `message` with Cap'n Proto (schema/peer.capnp). Returns no bytes if
/// any size is out of bounds.
bytes encode(const peer_message& message);

/// Returns nullopt if the bytes are not a message or any size is out of bounds.
std::optional<peer_message> decode_peer_message(bytes_view encoded);

}  // namespace rosemarydrum
