#include "world.h"

#include <array>
#include <iostream>
#include <variant>

#include "rosemarydrum/events/event_log.h"

namespace rosemarydrum::scenario {
namespace {

constexpr seconds propagation_limit{3};
constexpr seconds startup_period{5};

/// Names of the alternatives of peer_body, in their order.
constexpr std::array<const char*, std::variant_size_v<peer_body>> message_names{
    "heartbeat",     "slot_ask",       "slot_answer",     "slot_release",
    "grants_report", "lease_handover", "record_ask",      "record_answer",
    "close_ask",     "close_answer",   "request_forward", "forward_ack",
    "flow_ask",      "flow_answer",    "flow_copy",       "config_push",
    "config_pull",   "events_pull",    "events_page"};
double in_milliseconds(duration d) {
  return static_cast<double>(d.count()) / 1000;
}

endpoint service_address(service_id id) {
  return {0x0a020000 + value_of(id), 80};
}
endpoint caller_address(std::size_t load, const load_profile& profile) {
  const std::uint32_t prefix = profile.approved ? 0x0a030000 : 0x0a090000;
  return {prefix + (value_of(profile.service) << 8),
          static_cast<std::uint16_t>(1 + load)};
}
std::string name_of(std::uint32_t balancer) {
  return "b" + std::to_string(balancer);
}
std::string name_of(data_centre_id id) {
  return "d" + std::to_string(value_of(id));
}

}  // namespace

world::world(simulation& sim, checker& checks, std::uint16_t data_centres,
             std::uint32_t balancers_each)
    : sim_(sim), checks_(checks) {
  std::uint32_t next = 1;
  for (std::uint16_t d = 1; d <= data_centres; ++d) {
    auto& centre = config_.data_centres[data_centre_id(d)];
    centre.id = data_centre_id(d);
    centre.name = "dc" + std::to_string(d);
    for (std::uint32_t i = 0; i < balancers_each; ++i, ++next) {
      const endpoint address{0x0a000000 + next, 7000};
      centre.balancers.push_back({balancer_id(next), address});
      nodes_[next].run.id = balancer_id(next);
      nodes_[next].data_centre = centre.id;
      nodes_[next].address = address;
    }
  }
}

void world::add_service(std::uint32_t number, std::uint16_t upstreams_each,
                        std::uint16_t slots, duration service_time) {
  const auto id = service_id(number);
  auto& s = config_.services[id];
  s.id = id;
  s.name = "service" + std::to_string(number);
  s.owner = "owner";
  s.address = service_address(id);
  approval granted;
  granted.caller = caller_id(number);
  granted.team = "team";
  granted.source = {0x0a030000 + (number << 8), 24};
  granted.idempotent = true;
  granted.max_priority = 100;
  granted.requests_per_second = 1'000'000;
  s.approvals.push_back(granted);
  for (const auto& [centre, _] : config_.data_centres) {
    for (std::uint16_t i = 0; i < upstreams_each; ++i) {
      const auto up =
          upstream_id(static_cast<std::uint32_t>(upstreams_.size() + 1));
      const endpoint address{0x0a010000 + value_of(up), 8000};
      s.upstreams.push_back({up, centre, address, slots, service_state::in});
      auto& b = upstreams_[up];
      b.service = id;
      b.data_centre = centre;
      b.fake = std::make_unique<fake_upstream>(sim_, checks_, up, slots,
                                               service_time);
      upstream_addresses_[address] = up;
    }
  }
}

void world::start() {
  for (const auto& [id, _] : config_.data_centres) {
    write_data_centre(id);
  }
  for (const auto& [id, _] : config_.services) {
    write_service(id);
  }
  for (auto& [number, _] : nodes_) {
    start_balancer(number);
  }
  tick();
  poll_store();
}

void world::write(const std::string& key, std::string text) {
  documents_[key] = {key, std::move(text), revision(++store_revision_)};
  writes_.emplace_back(sim_.now(), revision(store_revision_));
}
void world::write_service(service_id id) {
  const auto& s = config_.services.at(id);
  write(service_key(s.name), encode_document(s, {}));
}
void world::write_data_centre(data_centre_id id) {
  const auto& d = config_.data_centres.at(id);
  write(data_centre_key(d.name), encode_document(d, {}));
}

void world::deliver(std::uint32_t to, const input& callback) {
  auto& n = nodes_.at(to);
  if (!n.core) {
    return;
  }
  if (n.frozen) {
    // The first input during a freeze is processed and only its output held
    // back, as when a process is paused between a check and the send.
    if (n.pending.empty()) {
      balancer_output out;
      callback(*n.core, out);
      n.pending.emplace_back([this, to, out] { emit(to, out); });
    } else if (n.pending.size() < 20'000) {
      n.pending.emplace_back([this, to, callback] { deliver(to, callback); });
    }
    return;
  }
  balancer_output out;
  callback(*n.core, out);
  emit(to, std::move(out));
}

void world::print_events(const std::vector<event_record>& events) const {
  for (const auto& e : events) {
    const auto* row = find_event(e.id);
    std::cerr << sim_.since_start().count() / 1000 << "ms b"
              << value_of(e.process.id) << ' ' << (row ? row->name : "?")
              << " detail " << e.detail << " upstream " << value_of(e.upstream)
              << " flow " << value_of(e.flow) << " request "
              << value_of(e.request) << '\n';
  }
}

void world::emit(std::uint32_t from, balancer_output out) {
  if (prints_events_) {
    print_events(out.events);
  }
  for (auto& d : out.to_peers) {
    emit_to_peer(from, std::move(d));
  }
  for (const auto& d : out.to_upstreams) {
    emit_to_upstream(from, d);
  }
  for (const auto& d : out.to_callers) {
    const auto load = static_cast<std::size_t>(d.envelope.caller.port - 1);
    if (load < loads_.size()) {
      sim_.after(milliseconds(3),
                 [this, load, p = d.datagram] { loads_[load]->receive(p); });
    }
  }
}

bool world::connected(const std::string& from, const std::string& to) const {
  return !cuts_.contains({from, to});
}

bool world::reaches(std::uint32_t from, std::uint32_t to) const {
  return connected(name_of(from), name_of(to)) &&
         connected(name_of(nodes_.at(from).data_centre),
                   name_of(nodes_.at(to).data_centre));
}

duration world::latency(data_centre_id a, data_centre_id b) {
  return a == b ? duration(200 + sim_.random()() % 200)
                : duration(5000 + sim_.random()() % 1000);
}

void world::emit_to_peer(std::uint32_t from, peer_datagram d) {
  const auto to = value_of(d.to);
  const auto encoded = encode(d.message);
  const auto size = static_cast<double>(encoded.size());
  checks_.add("control_bytes", size);
  checks_.add(
      std::string("control_bytes_") + message_names[d.message.body.index()],
      size);
  if (!nodes_.contains(to) || !reaches(from, to) || sim_.uniform() < loss_ ||
      intercepts(d.message, from, to)) {
    return;
  }
  const auto& sender = nodes_.at(from);
  sim_.after(latency(sender.data_centre, nodes_.at(to).data_centre),
             [this, from, to, m = d.message] {
               deliver(to, [this, from, m](balancer& b, balancer_output& out) {
                 b.on_peer(nodes_.at(from).address, m, sim_.now(), out);
               });
             });
}

void world::check_traffic_to_out(const upstream_process& to,
                                 const packet_header& sent) {
  if (to.out_since == time_point::max()) {
    return;
  }
  const auto since = sim_.now() - to.out_since;
  if (config_.data_centres.at(to.data_centre).state == service_state::out) {
    checks_.at_least("last_packet_to_out_ms", in_milliseconds(since));
    checks_.add("late_packets_to_out", since > propagation_limit ? 1 : 0);
  } else if (sent.kind == packet_kind::request && sent.opens_flow) {
    checks_.at_least("last_new_work_ms", in_milliseconds(since));
    checks_.add("late_new_work", since > propagation_limit ? 1 : 0);
  }
}

void world::emit_to_upstream(std::uint32_t from, const upstream_datagram& d) {
  const auto id = upstream_addresses_.at(d.address);
  auto& b = upstreams_.at(id);
  const auto& sender = nodes_.at(from);
  check_traffic_to_out(b, d.datagram.header);
  if (!connected(name_of(sender.data_centre), name_of(b.data_centre)) ||
      sim_.uniform() < loss_) {
    return;
  }
  const auto delay = latency(sender.data_centre, b.data_centre);
  sim_.after(delay, [this, from, id, delay, p = d.datagram] {
    auto& there = upstreams_.at(id);
    const auto load = value_of(p.header.flow) / flows_per_load;
    const bool approved = profiles_.at(load).approved &&
                          profiles_.at(load).service == there.service;
    const auto address = config_.find_upstream(there.service, id)->address;
    there.fake->receive(p, approved, [=, this](const packet& answer) {
      if (sim_.uniform() < loss_) {
        return;
      }
      sim_.after(delay, [=, this] {
        deliver(from, [=, this](balancer& core, balancer_output& out) {
          core.on_upstream(address, encode(answer), sim_.now(), out);
        });
      });
    });
  });
}

void world::add_load(const load_profile& profile) {
  const auto index = loads_.size();
  profiles_.push_back(profile);
  loads_.push_back(std::make_unique<fake_caller>(
      sim_, checks_, profile, index * flows_per_load + 1,
      [this, index](const packet& p) { fabric_send(index, p); }));
  loads_.back()->start();
}

void world::fabric_send(std::size_t load, const packet& p) {
  const auto& profile = profiles_[load];
  std::vector<std::uint32_t> local;
  std::vector<std::uint32_t> all;
  for (const auto& [number, n] : nodes_) {
    if (n.healthy) {
      all.push_back(number);
      if (n.data_centre == profile.data_centre) {
        local.push_back(number);
      }
    }
  }
  const auto& choice = local.empty() ? all : local;
  if (choice.empty() || sim_.uniform() < loss_) {
    return;
  }
  const auto to = choice[sim_.random()() % choice.size()];
  const fabric_envelope envelope{caller_address(load, profile),
                                 service_address(profile.service)};
  sim_.after(milliseconds(3), [this, to, envelope, p] {
    deliver(to, [this, envelope, p](balancer& b, balancer_output& out) {
      b.on_fabric(encode(envelope, encode(p)), sim_.now(), out);
    });
  });
}

void world::tick() {
  for (auto& [number, n] : nodes_) {
    deliver(number, [this](balancer& b, balancer_output& out) {
      b.tick(sim_.now(), out);
    });
    if (n.core && n.core->may_exit(sim_.now())) {
      n.core.reset();
      checks_.add("exited", 1);
    }
  }
  if (running_) {
    sim_.after(milliseconds(10), [this] { tick(); });
  }
}

void world::poll_store() {
  for (auto& [number, n] : nodes_) {
    n.healthy = n.core && !n.frozen && n.core->status(sim_.now()).ready;
    if (!n.core || n.frozen || !n.core->reads_store(sim_.now())) {
      continue;
    }
    const bool up = store_up_ && connected(name_of(number), "store") &&
                    connected(name_of(n.data_centre), "store");
    std::vector<document> changed;
    for (const auto& [_, d] :
         stale_documents_.empty() ? documents_ : stale_documents_) {
      if (up && (!stale_documents_.empty() || d.changed > n.last_read)) {
        changed.push_back(d);
      }
    }
    for (const auto& d : changed) {
      n.last_read = std::max(n.last_read, d.changed);
    }
    deliver(number, [this, up, changed](balancer& b, balancer_output& out) {
      b.on_store_state(up, sim_.now(), out);
      if (up) {
        b.on_store_documents(changed, sim_.now(), out);
      }
    });
  }
  check_configuration();
  if (running_) {
    sim_.after(milliseconds(100), [this] { poll_store(); });
  }
}

void world::check_configuration() {
  revision due{};
  for (const auto& [at, written] : writes_) {
    if (store_up_ && sim_.now() - at > propagation_limit) {
      due = written;
    }
  }
  const bool cut_off = !cuts_.empty();
  for (auto& [number, n] : nodes_) {
    if (n.healthy && !cut_off &&
        n.core->current_configuration().highest < due) {
      checks_.add("late_configuration", 1);
    }
  }
  for (; applied_writes_ < writes_.size(); ++applied_writes_) {
    const auto& [at, written] = writes_[applied_writes_];
    for (const auto& [number, n] : nodes_) {
      if (n.healthy && n.core->current_configuration().highest < written) {
        return;
      }
    }
    // The initial documents are written before any balancer is ready and are
    // not measured.
    if (sim_.since_start() > startup_period) {
      checks_.at_least("last_applied_ms", in_milliseconds(sim_.now() - at));
    }
  }
}

void world::finish() {
  running_ = false;
  for (auto& [_, n] : nodes_) {
    n.core.reset();
  }
  checks_.at_least("flows", static_cast<double>(checks_.flows()));
}

}  // namespace rosemarydrum::scenario
