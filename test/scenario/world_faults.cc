#include "rosemarydrum/configuration/config_codec.h"
#include "world.h"

/// Faults of balancers, links and upstreams, and changes by operators.
namespace rosemarydrum::scenario {

void world::start_balancer(std::uint32_t number) {
  auto& n = nodes_.at(number);
  balancer_settings settings;
  // Incarnations increase with each start, as in the daemon, which takes them
  // from the clock.
  n.run.run = incarnation(
      static_cast<std::uint64_t>(sim_.now().time_since_epoch().count()) +
      number);
  settings.self = n.run;
  settings.data_centre = n.data_centre;
  settings.token_secret = bytes(16, 0x5a);
  settings.seed = sim_.random()();
  for (const auto& entry : config_.data_centres.at(n.data_centre).balancers) {
    settings.bootstrap.push_back(entry);
  }
  n.frozen = false;
  n.last_read = {};
  n.pending.clear();
  n.core = std::make_unique<balancer>(settings, sim_.now());
}

void world::kill(std::uint32_t number) {
  nodes_.at(number).core.reset();
  nodes_.at(number).pending.clear();
}

void world::stop(std::uint32_t number) {
  deliver(number, [this](balancer& b, balancer_output& out) {
    b.shut_down(sim_.now(), out);
  });
}

void world::freeze(std::uint32_t number, duration length) {
  nodes_.at(number).frozen = true;
  sim_.after(length, [this, number] {
    auto& n = nodes_.at(number);
    n.frozen = false;
    auto pending = std::move(n.pending);
    n.pending.clear();
    for (auto& callback : pending) {
      callback();
    }
  });
}

bool world::intercepts(peer_message& m, std::uint32_t from, std::uint32_t to) {
  if (disabled_mechanisms_.contains("witness")) {
    if (const auto* ask = std::get_if<record_ask>(&m.body)) {
      auto answer = m;
      answer.from = nodes_.at(to).run;
      answer.to_run = {};
      answer.body = record_answer{ask->request, true};
      sim_.after(milliseconds(1), [this, from, to, answer] {
        deliver(from, [=, this](balancer& b, balancer_output& out) {
          b.on_peer(nodes_.at(to).address, answer, sim_.now(), out);
        });
      });
      return true;
    }
  }
  if (auto* sent = std::get_if<heartbeat>(&m.body)) {
    if (disabled_mechanisms_.contains("limits")) {
      sent->limits.clear();
    }
    if (disabled_mechanisms_.contains("votes")) {
      sent->granted.clear();
      for (std::uint16_t i = 0; i < shard_count; ++i) {
        sent->granted.push_back(shard_id(i));
      }
    }
  }
  const bool spreads = std::holds_alternative<config_push>(m.body) ||
                       std::holds_alternative<config_pull>(m.body);
  const bool flows = std::holds_alternative<flow_answer>(m.body) ||
                     std::holds_alternative<flow_copy>(m.body);
  return (spreads && disabled_mechanisms_.contains("push")) ||
         (flows && disabled_mechanisms_.contains("flows"));
}

void world::disable_mechanism(const std::string& mechanism) {
  disabled_mechanisms_.insert(mechanism);
  if (mechanism == "send-by") {
    for (auto& [_, b] : upstreams_) {
      b.fake->ignore_send_by();
    }
  }
}

void world::cut(const std::string& from, const std::string& to,
                bool both_ways) {
  cuts_.insert({from, to});
  if (both_ways) {
    cuts_.insert({to, from});
  }
}
void world::heal(const std::string& from, const std::string& to) {
  cuts_.erase({from, to});
  cuts_.erase({to, from});
}

void world::set_data_centre(std::uint16_t number, service_state state) {
  const auto id = data_centre_id(number);
  auto& centre = config_.data_centres.at(id);
  // Taking out a data centre that is already out does not restart the time
  // allowed for traffic to stop.
  const bool changes = centre.state != state;
  centre.state = state;
  write_data_centre(id);
  for (auto& [up, b] : upstreams_) {
    if (b.data_centre == id && changes) {
      const bool out = state == service_state::out;
      b.out_since = out ? sim_.now() : time_point::max();
      if (out) {
        checks_.on_upstream_abandoned(up);
      } else {
        b.fake->restart();
      }
    }
  }
}

void world::set_upstream(std::uint32_t number, service_state state) {
  auto& b = upstreams_.at(upstream_id(number));
  for (auto& up : config_.services.at(b.service).upstreams) {
    if (up.id == upstream_id(number)) {
      up.state = state;
    }
  }
  // In a data centre that is out, the time since it was taken out counts.
  if (config_.data_centres.at(b.data_centre).state != service_state::out) {
    b.out_since = state == service_state::out ? sim_.now() : time_point::max();
  }
  write_service(b.service);
}

void world::restart_upstream(std::uint32_t number) {
  checks_.on_upstream_abandoned(upstream_id(number));
  upstream_at(number).restart();
}

void world::warm_up() {
  for (auto& [_, b] : upstreams_) {
    b.fake->set_warm();
  }
}

}  // namespace rosemarydrum::scenario
