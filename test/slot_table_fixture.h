#pragma once

#include <cstdint>
#include <vector>

#include "rosemarydrum/slots/slot_table.h"

namespace rosemarydrum {

inline constexpr data_centre_id home{1};
inline constexpr data_centre_id remote{2};
inline constexpr service_id hour_signal{1};
inline constexpr balancer_run self_run{balancer_id(1), incarnation(101)};
inline constexpr balancer_run other_run{balancer_id(2), incarnation(102)};

/// Returns a configuration with one service: upstreams 1 to `upstreams` in data
/// centre `home` and upstream 100 in `remote`.
inline configuration one_service(int upstreams, std::uint16_t slots) {
  configuration current;
  current.data_centres[home].id = home;
  current.data_centres[remote].id = remote;
  service& only = current.services[hour_signal];
  only.id = hour_signal;
  for (int i = 1; i <= upstreams; ++i) {
    only.upstreams.push_back(
        {upstream_id(i), home, {}, slots, service_state::in});
  }
  only.upstreams.push_back(
      {upstream_id(100), remote, {}, slots, service_state::in});
  return current;
}

inline slot_ask ask_of(std::uint64_t number, std::uint8_t priority = 0) {
  slot_ask ask;
  ask.ask = number;
  ask.service = hour_signal;
  ask.priority = priority;
  ask.time_left_ms = 1000;
  ask.data_centre = home;
  return ask;
}

/// A slot table with its configuration, time and emitted actions.
struct table_fixture {
  explicit table_fixture(int upstreams = 3, std::uint16_t slots = 3,
                         slot_table_settings settings = {self_run, home})
      : table(settings), current(one_service(upstreams, slots)) {
    configure();
  }

  void configure() { table.set_configuration(current, now, out); }
  void advance(int ms) {
    now += milliseconds(ms);
    table.tick(now, out);
  }
  /// Makes all upstreams warm, as a peer's heartbeat without limits does.
  void warm() {
    advance(5000);
    const shard_id held[] = {shard};
    table.on_limits({}, held);
  }
  void authority(slot_authority mode, bool handed_over = true,
                 std::vector<balancer_id> reports_from = {}) {
    table.set_authority(shard, mode, reports_from, handed_over, now, out);
  }
  /// Returns and removes the answers emitted since the last call.
  std::vector<slot_answer> answers() {
    std::vector<slot_answer> result;
    for (const action& entry : out) {
      if (const auto* sent = std::get_if<send_to_peer>(&entry)) {
        result.push_back(std::get<slot_answer>(sent->body));
      }
    }
    out.clear();
    return result;
  }
  std::vector<slot_answer> ask(const slot_ask& wanted,
                               balancer_run from = self_run) {
    table.on_ask(from, wanted, now, out);
    return answers();
  }
  /// Sends `count` asks. Returns how many were granted at once.
  int granted(int count, balancer_run from = self_run) {
    int result = 0;
    for (int i = 0; i < count; ++i) {
      for (const auto& answer : ask(ask_of(++last_ask), from)) {
        result += answer.error == error_kind::none ? 1 : 0;
      }
    }
    return result;
  }
  void release(const slot_answer& granted_slot,
               attempt_outcome outcome = attempt_outcome::answered,
               std::uint64_t run = 1, balancer_run from = self_run) {
    slot_release released;
    released.grant = granted_slot.grant;
    released.service = granted_slot.service;
    released.upstream = granted_slot.upstream;
    released.outcome = outcome;
    released.upstream_run = incarnation(run);
    released.latency_us = 20'000;
    table.on_release(from, released, now, out);
  }
  std::size_t in_flight(int upstream) const {
    return table.in_flight(hour_signal, upstream_id(upstream));
  }

  slot_table table;
  configuration current;
  time_point now{seconds(100)};
  shard_id shard = shard_of(hour_signal);
  actions out;
  std::uint64_t last_ask = 1000;
};

}  // namespace rosemarydrum
