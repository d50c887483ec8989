#include "rosemarydrum/flows/flow_table.h"

#include <algorithm>
#include <map>

#include "flows/copied_flows.h"
#include "flows/flow_bindings.h"
#include "rosemarydrum/configuration/configuration.h"

namespace rosemarydrum {
namespace {

// A batch that could not be sent for long is cut; the flows stay known here.
constexpr std::size_t max_waiting_copies = 65'536;

detail::flow_time ms_of(time_point now) {
  return static_cast<detail::flow_time>(
      std::chrono::floor<milliseconds>(now.time_since_epoch()).count());
}

}  // namespace

struct flow_table::state {
  struct waiting_copy {
    flow_key flow;
    upstream_id upstream{};
  };

  explicit state(flow_table_settings initial)
      : settings(initial),
        idle(static_cast<detail::flow_time>(
            milliseconds(initial.idle_time).count())) {}

  flow_table_settings settings;
  detail::flow_time idle;
  detail::flow_bindings bindings;
  detail::copied_flows copies;
  std::vector<waiting_copy> waiting;
  time_point waiting_since;
};

flow_table::flow_table(flow_table_settings settings)
    : state_(std::make_unique<state>(settings)) {}
flow_table::~flow_table() = default;

void flow_table::bind(const flow_key& flow, upstream_run upstream,
                      bool only_here, time_point now) {
  const auto at = ms_of(now);
  const auto known = state_->bindings.find(flow, state_->idle, at);
  if (!state_->bindings.bind(flow, upstream, state_->settings.max_flows, at)) {
    return;
  }
  const bool changed = !known || known->id != upstream.id;
  if (only_here && changed && state_->waiting.size() < max_waiting_copies) {
    if (state_->waiting.empty()) {
      state_->waiting_since = now;
    }
    state_->waiting.push_back({flow, upstream.id});
  }
}

std::optional<upstream_run> flow_table::find(const flow_key& flow,
                                             time_point now) {
  const auto at = ms_of(now);
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
  std::erase_if(state_->waiting,
                [&](const auto& copy) { return copy.flow == flow; });
}

void flow_table::erase_upstream(upstream_id upstream) {
  state_->bindings.end_upstream(upstream);
  state_->copies.end_upstream(upstream);
  std::erase_if(state_->waiting,
                [&](const auto& copy) { return copy.upstream == upstream; });
}

std::vector<flow_copy> flow_table::take_copies(const configuration& services,
                                               time_point now) {
  std::vector<flow_copy> batches;
  const auto& settings = state_->settings;
  if (state_->waiting.empty() ||
      (now - state_->waiting_since < settings.copy_interval &&
       state_->waiting.size() < settings.max_copies)) {
    return batches;
  }
  std::map<service_id, std::size_t> open;  // The batch that is being filled.
  for (const auto& [flow, upstream] : state_->waiting) {
    const auto listed = services.services.find(flow.service);
    if (listed == services.services.end()) {
      continue;
    }
    const auto& upstreams = listed->second.upstreams;
    const auto position =
        std::find_if(upstreams.begin(), upstreams.end(),
                     [id = upstream](const auto& u) { return u.id == id; });
    if (position == upstreams.end()) {
      continue;
    }
    auto [batch, is_new] = open.try_emplace(flow.service, batches.size());
    if (is_new ||
        batches[batch->second].fingerprints.size() >= settings.max_copies) {
      batch->second = batches.size();
      batches.push_back({flow.service, {}, {}});
    }
    batches[batch->second].fingerprints.push_back(fingerprint(flow));
    batches[batch->second].upstreams.push_back(
        static_cast<std::uint16_t>(position - upstreams.begin()));
  }
  state_->waiting.clear();
  return batches;
}

void flow_table::on_copy(const flow_copy& copy, const configuration& services,
                         time_point now) {
  const auto listed = services.services.find(copy.service);
  if (listed == services.services.end() ||
      copy.fingerprints.size() != copy.upstreams.size()) {
    return;
  }
  const auto& upstreams = listed->second.upstreams;
  for (std::size_t i = 0; i < copy.fingerprints.size(); ++i) {
    if (copy.upstreams[i] < upstreams.size()) {
      state_->copies.put(copy.service, copy.fingerprints[i],
                         upstreams[copy.upstreams[i]].id,
                         state_->settings.max_flows, ms_of(now));
    }
  }
}

void flow_table::tick(time_point now) {
  state_->bindings.sweep(state_->idle, ms_of(now));
  state_->copies.sweep(state_->idle, ms_of(now));
}

std::size_t flow_table::size() const {
  return state_->bindings.size() + state_->copies.size();
}

std::size_t flow_table::memory_bytes() const {
  return state_->bindings.memory_bytes();
}

std::uint32_t flow_table::fingerprint(const flow_key& flow) {
  // Bits that the tables do not use to place the exact binding.
  return static_cast<std::uint32_t>(
      detail::mix(0xf1, std::hash<flow_key>{}(flow)) >> 32);
}

}  // namespace rosemarydrum
