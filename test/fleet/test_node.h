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

/// A forwarder process without sockets: agent and forwarder as the threads run
/// them.
class test_node : private fleet_agent_host {
 public:
  struct wiring {
    std::function<void(const spread_datagram&)> send;
    std::function<void(const fetch_request&)> fetch;
    std::function<void(const delayed_packet&)> repeat;
  };

  test_node(const member_record& self, fake_kv_store& store, scheduler& time,
            wiring to, std::vector<endpoint> seeds = {})
      : record(self),
        client(store, time),
        to_(std::move(to)),
        core_({.name = self.name,
               .data_centre = self.data_centre,
               .seed = std::hash<std::string>{}(self.name)},
              codec, observer_),
        agent_(client, schema_,
               {self, incarnation(std::hash<std::string>{}(self.name)),
                std::move(seeds), longest_age,
                std::hash<std::string>{}(self.name)},
               *this, runtime_clock::now()),
        last_tick_(runtime_clock::now()) {}

  void tick() {
    const auto now = runtime_clock::now();
    if (now - last_tick_ > milliseconds(450)) {
      agent_.on_stall(now);
      core_.on_stall(now - last_tick_, now);
    }
    last_tick_ = now;
    agent_.on_failures(core_.take_failures());
    agent_.tick(now);
    repeat(now);
    core_.tick(now);
  }

  packet_verdict take(const bytes& datagram) {
    const auto packet = codec.decode(datagram);
    if (!packet) {
      return {packet_fate::discard, fate_reason::malformed, {}, {}, {}};
    }
    const auto now = runtime_clock::now();
    const auto verdict = core_.on_packet(*packet, now);
    repeat(now);
    return verdict;
  }

  void receive(const endpoint& from, const spread_message& message) {
    // Messages cross the wire, so that the codec is tested with them.
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
    return running && !leaving_ && agent_.configuration() > 0 &&
           !core_.ability().is_unable(runtime_clock::now());
  }
  void leave() {
    leaving_ = true;
    agent_.leave(runtime_clock::now());
  }

  fleet_agent& agent() { return agent_; }
  forwarder& core() { return core_; }

  member_record record;
  fake_kv_client client;
  platform::packet_codec codec;
  bool running = true;
  /// What the fabric believes.
  bool in_rotation = false;
  int missed_checks = 0;
  /// What arrives while the node is frozen.
  std::vector<std::function<void()>> waiting;
  bool frozen = false;

 private:
  static constexpr milliseconds longest_age{3000};

  void send(const spread_datagram& datagram) override { to_.send(datagram); }
  void fetch(const fetch_request& request) override { to_.fetch(request); }
  void update(fleet_update news) override {
    core_.on_update(news, runtime_clock::now());
  }
  void repeat(time_point now) {
    for (const auto& each : core_.due_packets(false, now)) {
      to_.repeat(each);
    }
  }

  platform::fleet_decoder schema_;
  wiring to_;
  forwarder_observer observer_;
  forwarder core_;
  fleet_agent agent_;
  time_point last_tick_;
  bool leaving_ = false;
};

}  // namespace rosemarydrum
