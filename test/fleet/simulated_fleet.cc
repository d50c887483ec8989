#include "fleet/simulated_fleet.h"

#include <algorithm>

#include "fleet/rotation.h"
#include "fleet/test_packets.h"
#include "rosemarydrum/address_text.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds tick_interval{50};
constexpr milliseconds health_check_interval{500};
constexpr int max_missed_health_checks = 2;
constexpr std::uint16_t peer_port = 7700;
constexpr std::size_t max_seeds = 3;
/// Upstreams repeat an unanswered handshake, each time after twice the wait.
constexpr milliseconds first_handshake_wait{200};
constexpr milliseconds max_handshake_wait{1600};
constexpr int max_handshake_copies = 8;
constexpr std::uint32_t first_session_address = 0x64410001;

}  // namespace

simulated_fleet::simulated_fleet(const std::vector<std::string>& data_centres)
    : callers(clock, {[this](const auto& centre, const auto& flow,
                             const auto& datagram) {
                send_packet(centre, flow, datagram);
              }}),
      sessions(
          clock,
          {[this](const auto& centre, const auto& flow, const auto& datagram) {
            send_packet(centre, flow, datagram);
          }},
          first_session_address),
      data_centres_(data_centres) {
  run_health_checks();
}

test_node& simulated_fleet::add_node(const std::string& name,
                                     const std::string& data_centre,
                                     std::uint32_t capacity) {
  const member_record self{
      name, data_centre, {0x0a010000U + next_node_++, peer_port}, capacity};
  const auto process = std::make_shared<test_node*>(nullptr);
  const auto callbacks = test_node::callbacks{
      [this, process](const spread_datagram& datagram) {
        if (*process != nullptr && (*process)->running) {
          send(**process, datagram);
        }
      },
      [this, process](const fetch_request& request) {
        fetch(**process, request);
      },
      [this, data_centre](const delayed_packet& each) {
        if (each.verdict.action == packet_action::forward) {
          forward(data_centre, each.verdict, each.datagram);
        }
      },
      [this](const flow_reset& each) { reset(each.flow); }};
  auto& node = nodes[name];
  if (node) {
    // Answers to its pending calls may still arrive.
    replaced_nodes_.push_back(std::move(node));
  }
  node = std::make_unique<test_node>(self, store, clock, callbacks, seeds_);
  if (seeds_.size() < max_seeds) {
    seeds_.push_back(self.address);
  }
  *process = node.get();
  schedule_tick(*node);
  return *node;
}

void simulated_fleet::send(const test_node& from,
                           const spread_datagram& datagram) {
  for (const auto& to : datagram.to) {
    for (auto& [name, node] : nodes) {
      if (node->record.address != to ||
          is_cut(from.record.data_centre, node->record.data_centre)) {
        continue;
      }
      const bool is_local = from.record.data_centre == node->record.data_centre;
      clock.after(is_local ? local_delay : remote_delay,
                  [node = node.get(), sender = from.record.address,
                   message = datagram.message] {
                    if (node->frozen) {
                      node->queued.push_back([node, sender, message] {
                        node->receive(sender, message);
                      });
                    } else if (node->running) {
                      node->receive(sender, message);
                    }
                  });
    }
  }
}

void simulated_fleet::fetch(test_node& requester,
                            const fetch_request& request) {
  for (auto& [name, node] : nodes) {
    if (node->record.address != request.from || !node->running ||
        node->frozen ||
        is_cut(requester.record.data_centre, node->record.data_centre)) {
      continue;
    }
    const auto now = clock.now();
    const auto message = request.kind == fetch_kind::unlisted
                             ? node->agent().unlisted_items(now)
                             : node->agent().changes_after(request.after, now);
    fetched_bytes += encode(message).size();
    clock.after(remote_delay,
                [&requester, message] { requester.receive_fetched(message); });
    return;
  }
  clock.after(request.deadline,
              [&requester] { requester.receive_fetched({}); });
}

void simulated_fleet::schedule_tick(test_node& node) {
  const auto name = node.record.name;
  auto* process = &node;
  clock.after(tick_interval, [this, name, process] {
    const auto found = nodes.find(name);
    // A restarted node schedules its own ticks.
    if (found == nodes.end() || found->second.get() != process ||
        !process->running) {
      return;
    }
    if (!process->frozen) {
      process->tick();
    }
    schedule_tick(*process);
  });
}

void simulated_fleet::kill(const std::string& name) {
  nodes.at(name)->running = false;
}

void simulated_fleet::restart(const std::string& name) {
  const auto record = nodes.at(name)->record;
  const auto next = next_node_;
  next_node_ = static_cast<std::uint8_t>(record.address.address & 0xff);
  add_node(name, record.data_centre, record.capacity);
  next_node_ = next;
}

void simulated_fleet::freeze(const std::string& name, duration time) {
  auto& node = *nodes.at(name);
  node.frozen = true;
  clock.after(time, [&node] {
    node.frozen = false;
    node.tick();
    for (const auto& each : std::exchange(node.queued, {})) {
      each();
    }
  });
}

fake_upstream& simulated_fleet::add_upstream(const std::string& hex_id,
                                             platform_texts::entry entry) {
  entry.address = "10.9.0." + std::to_string(upstreams.size() + 1) + ":8080";
  auto& upstream = upstreams[hex_id];
  upstream = std::make_unique<fake_upstream>(hex_id, std::move(entry));
  write_entry(hex_id);
  return *upstream;
}

void simulated_fleet::write_entry(const std::string& hex_id) {
  auto& upstream = *upstreams.at(hex_id);
  ++upstream.entry.seq;
  store.put(platform_texts::upstream_key_of(upstream.id),
            platform_texts::text(upstream.entry));
}

void simulated_fleet::remove_entry(const std::string& hex_id) {
  auto& upstream = *upstreams.at(hex_id);
  upstream.listed = false;
  store.remove(platform_texts::upstream_key_of(upstream.id));
}

void simulated_fleet::configure(
    std::int64_t version,
    const std::vector<platform_texts::route_text>& routes) {
  configuration_ = platform_texts::configuration(version, routes);
  store.put(platform_texts::configuration_key, configuration_);
}

void simulated_fleet::restore_store(duration copy_age, duration away,
                                    duration rewritten_after) {
  for (auto& [name, node] : nodes) {
    node->client.fault = store_fault::refuses;
  }
  clock.after(away, [this, copy_age, away] {
    store.restore(copy_age + away);
    for (auto& [name, node] : nodes) {
      node->client.fault = store_fault::none;
    }
  });
  clock.after(away + rewritten_after, [this] { write_lost_items(); });
}

void simulated_fleet::write_lost_items() {
  if (store.value_at(platform_texts::configuration_key) != configuration_) {
    store.put(platform_texts::configuration_key, configuration_);
  }
  for (const auto& data_centre : data_centres_) {
    const auto key = platform_texts::evacuation_key(data_centre);
    const bool is_stored = !store.value_at(key).empty();
    if (is_stored != evacuated_.contains(data_centre)) {
      is_stored ? end_evacuation(data_centre) : evacuate(data_centre);
    }
  }
  for (const auto& [hex_id, upstream] : upstreams) {
    const auto stored =
        store.value_at(platform_texts::upstream_key_of(upstream->id));
    if (!upstream->listed && !stored.empty()) {
      remove_entry(hex_id);
    } else if (upstream->listed && upstream->alive &&
               stored != platform_texts::text(upstream->entry)) {
      write_entry(hex_id);
    }
  }
}

void simulated_fleet::cut(const std::string& data_centre) {
  for (const auto& other : data_centres_) {
    if (other != data_centre) {
      cut_between(data_centre, other);
    }
  }
  for (auto& [name, node] : nodes) {
    if (node->record.data_centre == data_centre) {
      node->client.fault = store_fault::silent;
    }
  }
}

void simulated_fleet::heal(const std::string& data_centre) {
  std::erase_if(cuts_, [&](const auto& pair) {
    return pair.first == data_centre || pair.second == data_centre;
  });
  for (auto& [name, node] : nodes) {
    if (node->record.data_centre == data_centre) {
      node->client.fault = store_fault::none;
    }
  }
}

void simulated_fleet::cut_between(const std::string& one,
                                  const std::string& other) {
  cuts_.insert({one, other});
  cuts_.insert({other, one});
}

bool simulated_fleet::is_cut(const std::string& one,
                             const std::string& other) const {
  return cuts_.contains({one, other});
}

void simulated_fleet::run_health_checks() {
  for (auto& [name, node] : nodes) {
    if (node->is_ready() && !node->frozen) {
      node->in_rotation = true;
      node->missed_checks = 0;
    } else if (++node->missed_checks >= max_missed_health_checks) {
      node->in_rotation = false;
    }
  }
  clock.after(health_check_interval, [this] { run_health_checks(); });
}

test_node* simulated_fleet::route_to(const std::string& data_centre,
                                     std::uint64_t hash) {
  std::vector<rotation_entry<test_node>> entries;
  for (auto& [name, node] : nodes) {
    entries.push_back(
        {node.get(), node->record.data_centre, node->in_rotation});
  }
  return route_in_rotation(data_centres_, data_centre, entries, hash);
}

void simulated_fleet::request(const std::string& data_centre) {
  callers.request(data_centre, test_packets::default_service);
}

void simulated_fleet::send_packet(const std::string& data_centre,
                                  const flow_ends& flow,
                                  const bytes& datagram) {
  auto* node = route_to(data_centre, std::hash<flow_ends>{}(flow));
  if (node == nullptr) {
    return;
  }
  clock.after(caller_delay, [this, node, flow, datagram] {
    if (node->frozen) {
      node->queued.push_back(
          [this, node, flow, datagram] { deliver(*node, flow, datagram); });
    } else if (node->running) {
      deliver(*node, flow, datagram);
    }
  });
}

void simulated_fleet::deliver(test_node& node, const flow_ends& flow,
                              const bytes& datagram) {
  const auto verdict = node.on_packet(datagram);
  if (verdict.action == packet_action::forward) {
    forward(node.record.data_centre, verdict, datagram);
  } else if (verdict.action == packet_action::reset) {
    reset(flow);
  }
}

void simulated_fleet::reset(const flow_ends& flow) {
  clock.after(caller_delay, [this, flow] {
    callers.on_reset(flow);
    sessions.on_reset(flow);
  });
}

void simulated_fleet::forward(const std::string& from_centre,
                              const packet_verdict& verdict,
                              const bytes& datagram) {
  const platform::packet_codec codec;
  bytes sent(codec.headroom());
  sent.insert(sent.end(), datagram.begin(), datagram.end());
  codec.address_to(sent, verdict.upstream, verdict.tag);
  for (auto& [hex_id, upstream] : upstreams) {
    if (to_string(verdict.to) != upstream->entry.address ||
        is_cut(from_centre, upstream->entry.zone)) {
      continue;
    }
    const bool is_local = from_centre == upstream->entry.zone;
    clock.after(is_local ? local_delay : remote_delay,
                [this, to = upstream.get(), sent] {
                  for (const auto& each : to->take(sent)) {
                    answer(*to, each);
                  }
                });
  }
}

void simulated_fleet::answer(fake_upstream& from, const upstream_answer& sent) {
  if (sent.kind == answer_kind::handshake) {
    repeat_handshake_after(first_handshake_wait, 1, from, sent.flow);
    if (from.handshakes_to_lose > 0) {
      --from.handshakes_to_lose;
      return;
    }
  }
  clock.after(sent.delay + caller_delay, [this, sent] {
    callers.on_answer(sent);
    sessions.on_answer(sent);
  });
}

void simulated_fleet::repeat_handshake_after(duration wait, int copy,
                                             fake_upstream& from,
                                             const flow_ends& flow) {
  clock.after(wait, [this, wait, copy, &from, flow] {
    const auto repeated = from.repeat_handshake(flow);
    if (!repeated) {
      return;
    }
    clock.after(caller_delay, [this, sent = *repeated] {
      callers.on_answer(sent);
      sessions.on_answer(sent);
    });
    if (copy < max_handshake_copies) {
      repeat_handshake_after(std::min<duration>(wait * 2, max_handshake_wait),
                             copy + 1, from, flow);
    }
  });
}

void simulated_fleet::load(double per_second, duration time) {
  const auto interval = duration(static_cast<duration::rep>(1e6 / per_second));
  for (duration at{0}; at < time; at += interval) {
    for (const auto& centre : data_centres_) {
      clock.after(at, [this, centre] { request(centre); });
    }
  }
}

std::size_t simulated_fleet::served() const {
  return static_cast<std::size_t>(
      std::count_if(callers.outcomes.begin(), callers.outcomes.end(),
                    [](const auto& each) { return each.second.served; }));
}

std::size_t simulated_fleet::served_slower_than(duration bound) const {
  return static_cast<std::size_t>(
      std::count_if(callers.outcomes.begin(), callers.outcomes.end(),
                    [bound](const auto& each) {
                      return each.second.served && each.second.took > bound;
                    }));
}

int simulated_fleet::store_calls() const {
  int calls = 0;
  for (const auto& [name, node] : nodes) {
    calls += node->client.calls;
  }
  return calls;
}

}  // namespace rosemarydrum
