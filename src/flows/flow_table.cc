#include "rosemarydrum/flows/flow_table.h"

#include <algorithm>
#include <map>

#include "flows/copied_flows.h"
#include "flows/flow_bindings.h"
#include "rosemarydrum/configuration/configuration.h"

namespace rosemarydrum {
namespace {

// Limit on the copies that wait to be sent, reached if none could be sent for
// long. Further copies are dropped; their flows stay bound at this balancer.
constexpr std::size_t max_pending_copies = 65'536;

detail::flow_timestamp to_timestamp(time_point now) {
  return static_cast<detail::flow_timestamp>(
      std::chrono::floor<milliseconds>(now.time_since_epoch()).count());
}

}  // namespace

struct flow_table::state {
  struct pending_copy {
    flow_key flow;
    upstream_id upstream{};
  };

  explicit state(flow_table_settings initial)
      : settings(initial),
        idle(static_cast<detail::flow_timestamp>(
            milliseconds(initial.idle_time).count())) {}

  flow_table_settings settings;
  detail::flow_timestamp idle;
  detail::flow_bindings bindings;
  detail::copied_flows copies;
  std::vector<pending_copy> pending_copies;
  time_point pending_since;
};

flow_table::flow_table(flow_table_settings settings)
    : state_(std::make_unique<state>(settings)) {}
flow_table::~flow_table() = default;

void flow_table::bind(const flow_key& flow, upstream_run upstream,
                      bool needs_copy, time_point now) {
  const auto at = to_timestamp(now);
  const auto known = state_->bindings.find(flow, state_->idle, at);
  if (!state_->bindings.bind(flow, upstream, state_->settings.max_flows, at)) {
    return;
  }
  const bool changed = !known || known->id != upstream.id;
  if (needs_copy && changed &&
      state_->pending_copies.size() < max_pending_copies) {
    if (state_->pending_copies.empty()) {
      state_->pending_since = now;
    }
    state_->pending_copies.push_back({flow, upstream.id});
  }
}

std::optional<upstream_run> flow_table::find(const flow_key& flow,
                                             time_point now) {
  const auto at = to_timestamp(now);
  if (const auto bound = state_->bindings.find(flow, state_->idle, at)) {
    return bound;
  }
  if (const auto copied = state_->copies.find(flow.service, fingerprint(flow),
                                              state_->idle, at)) {
    return upstream_run{*copied, {}};
  }
  return std::nullopt;
}

void flow_table::erase(const flow_key& flow) {
  state_->bindings.erase(flow);
  state_->copies.erase(flow.service, fingerprint(flow));
  std::erase_if(state_->pending_copies,
                [&](const auto& copy) { return copy.flow == flow; });
}

void flow_table::erase_upstream(upstream_id upstream) {
  state_->bindings.end_upstream(upstream);
  state_->copies.end_upstream(upstream);
  std::erase_if(state_->pending_copies,
                [&](const auto& copy) { return copy.upstream == upstream; });
}

std::vector<flow_copy> flow_table::take_copies(const configuration& config,
                                               time_point now) {
  std::vector<flow_copy> batches;
  const auto& settings = state_->settings;
  if (state_->pending_copies.empty() ||
      (now - state_->pending_since < settings.copy_interval &&
       state_->pending_copies.size() < settings.max_copies)) {
    return batches;
  }
  // Index of the batch that is being filled for each service.
  std::map<service_id, std::size_t> open_batches;
  for (const auto& [flow, upstream] : state_->pending_copies) {
    const auto service_entry = config.services.find(flow.service);
    if (service_entry == config.services.end()) {
      continue;
    }
    const auto& upstreams = service_entry->second.upstreams;
    const auto position =
        std::find_if(upstreams.begin(), upstreams.end(),
                     [id = upstream](const auto& u) { return u.id == id; });
    if (position == upstreams.end()) {
      continue;
    }
    auto [batch, is_new] =
        open_batches.try_emplace(flow.service, batches.size());
    if (is_new ||
        batches[batch->second].fingerprints.size() >= settings.max_copies) {
      batch->second = batches.size();
      batches.push_back({flow.service, {}, {}});
    }
    batches[batch->second].fingerprints.push_back(fingerprint(flow));
    batches[batch->second].upstreams.push_back(
        static_cast<std::uint16_t>(position - upstreams.begin()));
  }
  state_->pending_copies.clear();
  return batches;
}

void flow_table::on_copy(const flow_copy& copy, const configuration& config,
                         time_point now) {
  const auto service_entry = config.services.find(copy.service);
  if (service_entry == config.services.end() ||
      copy.fingerprints.size() != copy.upstreams.size()) {
    return;
  }
  const auto& upstreams = service_entry->second.upstreams;
  for (std::size_t i = 0; i < copy.fingerprints.size(); ++i) {
    if (copy.upstreams[i] < upstreams.size()) {
      state_->copies.put(copy.service, copy.fingerprints[i],
                         upstreams[copy.upstreams[i]].id,
                         state_->settings.max_flows, to_timestamp(now));
    }
  }
}

void flow_table::tick(time_point now) {
  state_->bindings.sweep(state_->idle, to_timestamp(now));
  state_->copies.sweep(state_->idle, to_timestamp(now));
}

std::size_t flow_table::size() const {
  return state_->bindings.size() + state_->copies.size();
}

std::size_t flow_table::memory_bytes() const {
  return state_->bindings.memory_bytes();
}

std::uint32_t flow_table::fingerprint(const flow_key& flow) {
  // Hashed again, so that the bits are independent of those by which the exact
  // binding is placed in its table.
  return static_cast<std::uint32_t>(
      detail::mix(0xf1, std::hash<flow_key>{}(flow)) >> 32);
}

}  // namespace rosemarydrum
