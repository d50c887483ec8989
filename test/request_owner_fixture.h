#pragma once

#include <vector>

#include "rosemarydrum/requests/request_owner.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

inline constexpr balancer_run owner_run{balancer_id(1), incarnation(10)};
inline constexpr balancer_run record_witness{balancer_id(2), incarnation(20)};
inline constexpr balancer_run slot_decider{balancer_id(3), incarnation(30)};
inline constexpr service_id service_1{1};

/// A request_owner under a clock that the test advances, and the actions that
/// it has requested.
struct request_owner_fixture {
  manual_time frozen_clock;
  time_point now{seconds(1000)};
  token_codec tokens{bytes(16, 1)};
  request_owner owner;
  actions out;

  explicit request_owner_fixture(std::size_t max_kept_bytes = 1000)
      : owner(settings(100, max_kept_bytes), tokens, 1) {}

  static request_owner_settings settings(std::size_t max_requests,
                                         std::size_t max_kept_bytes = 1000) {
    request_owner_settings s;
    s.self = owner_run;
    s.max_requests = max_requests;
    s.max_kept_bytes = max_kept_bytes;
    return s;
  }
  owned_request request(std::uint64_t id, bool idempotent) const {
    owned_request r;
    r.key = {caller_id(1), service_1, flow_id(1), request_id(id)};
    r.idempotent = idempotent;
    r.opens_flow = true;
    r.datagram.header.time_left_ms = 1000;
    r.next_witness = record_witness;
    if (!idempotent) {
      r.owner_token = {{caller_id(1), service_1, flow_id(1)},
                       {},
                       owner_run,
                       record_witness,
                       runtime_clock::to_unix(now + token_lifetime)};
    }
    return r;
  }
  /// Returns the actions of type T and clears all actions.
  template <typename T>
  std::vector<T> take() {
    std::vector<T> found;
    for (const action& a : out) {
      if (const T* one = std::get_if<T>(&a)) {
        found.push_back(*one);
      }
    }
    out.clear();
    return found;
  }
  /// Starts the request and returns the number of its ask for a slot.
  std::uint64_t start(const owned_request& r) {
    owner.on_request(r, now, out);
    return take<ask_slot>().at(0).ask.ask;
  }
  void grant(std::uint64_t ask, std::uint64_t number = 1,
             std::uint32_t upstream = 1) {
    owner.on_slot_answer(slot_decider,
                         {ask,
                          error_kind::none,
                          grant_id(number),
                          service_1,
                          upstream_id(upstream),
                          {},
                          10'000},
                         now, out);
  }
  void refuse_slot(std::uint64_t ask, error_kind error, bool may_wait = false) {
    owner.on_slot_answer(slot_decider,
                         {ask, error, {}, service_1, {}, {}, 0, may_wait}, now,
                         out);
  }
  void record(const owned_request& r, bool recorded = true) {
    owner.on_record_answer(record_witness, {r.key, recorded}, now, out);
  }
  /// Advances the clock by `time` and ticks every 10 ms.
  void advance(milliseconds time) {
    for (const auto end = now + time; now < end;) {
      now += milliseconds(10);
      owner.tick(now, out);
    }
  }
  /// Replies to `to` as its upstream, with one part of an answer.
  void reply(const send_to_upstream& to, packet_kind kind,
             std::uint16_t part = 0, std::uint16_t parts = 1) {
    packet p = to.datagram;
    p.header.kind = kind;
    p.header.part = part;
    p.header.parts = parts;
    p.payload = {static_cast<std::uint8_t>(part)};
    owner.on_upstream_packet(to.upstream, p, now, out);
  }
};

}  // namespace rosemarydrum
