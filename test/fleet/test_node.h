#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fake_kv_store.h"
#include "platform/fleet_decoder.h"
#include "platform/packet_codec.h"
#include "rosemarydrum/forwarding/fleet_agent.h"
#include "rosemarydrum/forwarding/forwarder.h"

namespace rosemarydrum {

/// A forwarder process without sockets and threads: runs the agent and the
/// forwarder as the threads of a process do.
class test_node : private fleet_agent_host {
 public:
  struct callbacks {
    std::function<void(const spread_datagram&)> send;
    std::function<void(const fetch_request&)> fetch;
    std::function<void(const delayed_packet&)> send_delayed;
    std::function<void(const flow_reset&)> send_reset;
  };

  test_node(const member_record& self, fake_kv_store& store, scheduler& time,
            callbacks to, std::vector<endpoint> seeds = {})
      : record(self),
        client(store, time),
        to_(std::move(to)),
        packet_forwarder_({.name = self.name,
                           .data_centre = self.data_centre,
                           .seed = std::hash<std::string>{}(self.name)},
                          codec, observer_),
        agent_(client, schema_,
               {self, incarnation(std::hash<std::string>{}(self.name)),
                std::move(seeds), max_age, std::hash<std::string>{}(self.name)},
               *this, runtime_clock::now()),
        last_tick_(runtime_clock::now()) {}

  void tick() {
    const auto now = runtime_clock::now();
    if (now - last_tick_ > milliseconds(450)) {
      agent_.on_stall(now);
      packet_forwarder_.on_stall(now - last_tick_, now);
    }
    last_tick_ = now;
    agent_.on_failures(packet_forwarder_.take_failures());
    agent_.on_flow_records(packet_forwarder_.take_flow_records(), now);
    send_sightings(now);
    agent_.tick(now);
    send_due_packets(now);
    packet_forwarder_.tick(now);
  }

  packet_verdict on_packet(const bytes& datagram) {
    const auto packet = codec.decode(datagram);
    if (!packet) {
      return {packet_action::discard, verdict_reason::malformed, {}, {}, {}};
    }
    const auto now = runtime_clock::now();
    const auto verdict = packet_forwarder_.on_packet(*packet, now);
    send_due_packets(now);
    send_sightings(now);
    return verdict;
  }

  void receive(const endpoint& from, const spread_message& message) {
    // Encodes and decodes each message, so that the codec is tested as well.
    const auto copy = decode_spread_message(encode(message));
    if (copy) {
      agent_.on_message(from, *copy, runtime_clock::now());
    }
  }

  void receive_fetched(const std::optional<spread_message>& message) {
    agent_.on_fetched(
        message ? decode_spread_message(encode(*message)) : std::nullopt,
        runtime_clock::now());
  }

  bool is_ready() const {
    return running && !leaving_ && agent_.configuration_version() > 0 &&
           !packet_forwarder_.ability().is_unable(runtime_clock::now());
  }
  void leave() {
    leaving_ = true;
    agent_.leave(runtime_clock::now());
  }

  fleet_agent& agent() { return agent_; }
  forwarder& packet_forwarder() { return packet_forwarder_; }

  member_record record;
  fake_kv_client client;
  platform::packet_codec codec;
  bool running = true;
  /// Whether the fabric routes packets to the node.
  bool in_rotation = false;
  int missed_checks = 0;
  /// Deliveries that were queued while the node is frozen.
  std::vector<std::function<void()>> queued;
  bool frozen = false;

 private:
  static constexpr milliseconds max_age{3000};

  void send(const spread_datagram& datagram) override { to_.send(datagram); }
  void fetch(const fetch_request& request) override { to_.fetch(request); }
  void update(fleet_update update) override {
    packet_forwarder_.on_update(update, runtime_clock::now());
  }
  void send_due_packets(time_point now) {
    for (const auto& each : packet_forwarder_.due_packets(false, now)) {
      to_.send_delayed(each);
    }
    for (const auto& each : packet_forwarder_.take_resets()) {
      to_.send_reset(each);
    }
  }

  void send_sightings(time_point now) {
    if (packet_forwarder_.has_sightings()) {
      agent_.on_sightings(packet_forwarder_.take_sightings(now), now);
    }
  }

  platform::fleet_decoder schema_;
  callbacks to_;
  forwarder_observer observer_;
  forwarder packet_forwarder_;
  fleet_agent agent_;
  time_point last_tick_;
  bool leaving_ = false;
};

}  // namespace rosemarydrum
