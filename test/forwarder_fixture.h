#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet/test_packets.h"
#include "platform/packet_codec.h"
#include "rosemarydrum/forwarding/forwarder.h"

namespace rosemarydrum {

/// Records the forwarder's decisions.
struct recording_observer : forwarder_observer {
  void on_handshake(const open_flow&, time_point) override { ++handshakes; }
  void on_opened(const open_flow& flow, const known_upstream&,
                 time_point) override {
    requests.push_back(flow.request);
  }
  void on_placed_again(const open_flow&, const known_upstream&,
                       const known_upstream&, duration, repeat_cause cause,
                       time_point) override {
    causes.push_back(cause);
  }
  void on_refused(const flow_packet&, verdict_reason reason, const std::string&,
                  const std::string&, const upstream_counts&,
                  time_point) override {
    refused.push_back(reason);
  }
  void on_unanswered(const open_flow&, const known_upstream&,
                     time_point) override {
    ++unanswered;
  }
  void on_discarded(const flow_packet&, verdict_reason reason,
                    time_point) override {
    discarded.push_back(reason);
  }
  void on_ended(const open_flow&, const known_upstream&, time_point) override {
    ++ended;
  }
  void on_silent(const open_flow&, const known_upstream&, int,
                 time_point) override {
    ++silent;
  }
  void on_answers(const open_flow&, const known_upstream&, duration,
                  time_point) override {
    ++answers;
  }
  void on_failed(const open_flow&, const known_upstream&, double,
                 time_point) override {
    ++failed;
  }
  void on_unresponsive(const known_upstream&, std::size_t,
                       time_point) override {
    ++unresponsive;
  }
  void on_ejected(const known_upstream& upstream, double, time_point) override {
    ejected.push_back(upstream.record.key);
  }
  void on_restored(const known_upstream&, time_point) override { ++restored; }
  void on_slow_start_entered(const known_upstream&, time_point) override {
    ++slow_starts;
  }
  void on_slow_start_left(const known_upstream&, time_point) override {
    ++full_paces;
  }

  int handshakes = 0;
  int unanswered = 0;
  int ended = 0;
  int silent = 0;
  int answers = 0;
  int failed = 0;
  int restored = 0;
  int slow_starts = 0;
  int full_paces = 0;
  int unresponsive = 0;
  std::vector<upstream_key> ejected;
  std::vector<std::string> requests;
  std::vector<repeat_cause> causes;
  std::vector<verdict_reason> refused;
  std::vector<verdict_reason> discarded;
};

/// A forwarder with one route to service "desk", and its recorded decisions.
struct forwarder_fixture {
  static constexpr time_point start{seconds(100)};
  static time_point at(int ms) { return start + milliseconds(ms); }

  forwarder_fixture() {
    auto routes = std::make_shared<fleet_configuration>(configuration());
    // Long enough ago for handshakes to count against upstreams.
    change(configuration_change{routes}, start - seconds(10));
  }

  static fleet_configuration configuration() {
    fleet_configuration routes;
    routes.version = 1;
    routes.routes.push_back({"r-desk",
                             test_packets::default_service,
                             {{"desk", 1}},
                             request_type::idempotent,
                             milliseconds(1500),
                             milliseconds(300),
                             0});
    routes.services.push_back({"desk", milliseconds(2000), 0});
    return routes;
  }

  void change(decltype(fleet_change::content) content, time_point now = start) {
    fleet_update update;
    update.confirmed_at = start;
    revision_ = revision(revision_.number + 1);
    update.changes.push_back({revision_, std::move(content)});
    tested.on_update(update, now);
  }

  /// The store held nothing newer at `when`.
  void confirm(time_point when) {
    fleet_update update;
    update.confirmed_at = update.configuration_confirmed_at = when;
    tested.on_update(update, when);
  }
  void add_route(const endpoint& address, time_point now) {
    auto routes = std::make_shared<fleet_configuration>();
    routes->version = 2;
    for (const auto& each : {test_packets::default_service, address}) {
      routes->routes.push_back(
          {"r", each, {{"desk", 1}}, request_type::idempotent, {}, {}, 0});
    }
    change(configuration_change{routes}, now);
  }

  void add(std::uint64_t key, record_state state = record_state::present) {
    add_in("north", key, state);
  }
  void add_remote(std::uint64_t key) {
    add_in("south", key, record_state::present);
  }
  void add_in(const std::string& data_centre, std::uint64_t key,
              record_state state, time_point now = start) {
    change(upstream_change{state,
                           {upstream_key(key),
                            "desk",
                            data_centre,
                            {static_cast<std::uint32_t>(key), 80},
                            4,
                            false,
                            milliseconds(0),
                            incarnation(1)},
                           milliseconds(0)},
           now);
  }

  packet_verdict receive(const test_packets::head& from, time_point now,
                         const std::string& data = {}) {
    const auto datagram = test_packets::datagram_of(from, data);
    return tested.on_packet(*codec.decode(datagram), now);
  }

  packet_verdict open(std::uint16_t port, time_point now) {
    return receive({test_packets::flow_of(port)}, now);
  }
  packet_verdict send_next(std::uint16_t port, const packet_verdict& opened,
                           time_point now,
                           std::uint8_t flags = test_packets::ack,
                           const std::string& data = {}) {
    return receive(
        {test_packets::flow_of(port), flags, 8, 1, value_of(opened.tag)}, now,
        data);
  }

  platform::packet_codec codec;
  recording_observer observer;
  forwarder tested{{.name = "node-1", .data_centre = "north"}, codec, observer};

 private:
  revision revision_{};
};

}  // namespace rosemarydrum
