#include "soak/guarantee_checker.h"

#include <xxhash.h>

#include <algorithm>

#include "rosemarydrum/address_text.h"

namespace rosemarydrum {
namespace {

constexpr std::size_t tag_begin = 12;
constexpr std::size_t tag_end = 16;

std::uint64_t hash_without_tag(bytes_view datagram) {
  bytes copy(datagram.begin(), datagram.end());
  if (copy.size() >= tag_end) {
    std::fill(copy.begin() + tag_begin, copy.begin() + tag_end, 0);
  }
  return XXH3_64bits(copy.data(), copy.size());
}

}  // namespace

void guarantee_checker::disturb(const std::string& node, time_point until) {
  disturbed_until_[node] = std::max(disturbed_until_[node], until);
}

void guarantee_checker::disturb_all(time_point until) {
  all_disturbed_until_ = std::max(all_disturbed_until_, until);
}

bool guarantee_checker::is_forwarder_stable(const std::string& node,
                                            time_point now) const {
  const auto found = disturbed_until_.find(node);
  const auto until =
      std::max(all_disturbed_until_,
               found == disturbed_until_.end() ? time_point{} : found->second);
  return until == time_point{} || now - until >= stability;
}

bool guarantee_checker::is_upstream_stable(const std::string& upstream,
                                           time_point now) const {
  const auto found = upstream_disturbed_.find(upstream);
  return found == upstream_disturbed_.end() || now - found->second >= stability;
}

void guarantee_checker::on_route(const endpoint& address,
                                 const std::string& service, time_point now) {
  routes_[address].push_back({now, service});
}

void guarantee_checker::on_draining(const std::string& upstream,
                                    time_point now) {
  draining_since_.emplace(upstream, now);
}

void guarantee_checker::on_evacuation(const std::string& name, bool evacuated,
                                      time_point now) {
  if (evacuated) {
    evacuated_since_[name] = now;
  } else {
    evacuated_since_.erase(name);
  }
}

void guarantee_checker::on_cold(const std::string& upstream, time_point until) {
  cold_until_[upstream] = until;
  cold_openings_[upstream].clear();
}

void guarantee_checker::on_disturbed_upstream(const std::string& upstream,
                                              time_point now) {
  upstream_disturbed_[upstream] = now;
}

void guarantee_checker::on_sent(const bytes& datagram) {
  sent_.insert(hash_without_tag(datagram));
}

void guarantee_checker::on_received(bytes_view datagram) {
  if (!sent_.contains(hash_without_tag(datagram))) {
    fail("UNASKED", "an upstream got a packet that no caller sent so");
  }
}

void guarantee_checker::check_route(const fake_upstream& upstream,
                                    const std::string& node,
                                    const flow_ends& flow, time_point now) {
  const auto found = routes_.find(flow.service);
  const auto& service = upstream.entry.service;
  const bool ever =
      found != routes_.end() &&
      std::any_of(found->second.begin(), found->second.end(),
                  [&](const auto& each) { return each.service == service; });
  const auto what = to_string(flow.caller) + " to " + to_string(flow.service) +
                    " at " + upstream.id + " of " + service + " through " +
                    node;
  if (!ever) {
    fail("ROUTE", what);
    return;
  }
  // The forwarder may have used any configuration that was in force within the
  // last `configuration_bound`.
  const auto& changes = found->second;
  bool allowed = false;
  for (std::size_t i = 0; i < changes.size(); ++i) {
    const bool is_current = i + 1 == changes.size() ||
                            now - changes[i + 1].at < configuration_bound;
    allowed = allowed || (is_current && changes[i].service == service);
  }
  if (!allowed && is_forwarder_stable(node, now)) {
    fail("CONFIG", what);
  }
}

void guarantee_checker::on_opening(const fake_upstream& upstream,
                                   const std::string& node,
                                   const flow_ends& flow, time_point now) {
  check_route(upstream, node, flow, now);
  const auto what = upstream.id + " through " + node;
  const bool is_stable = is_forwarder_stable(node, now);
  if (const auto draining = draining_since_.find(upstream.id);
      draining != draining_since_.end() && is_stable &&
      now - draining->second > drain_bound) {
    fail("DRAIN", what);
  }
  if (const auto evacuated = evacuated_since_.find(upstream.entry.zone);
      evacuated != evacuated_since_.end() && is_stable &&
      now - evacuated->second > data_centre_bound) {
    fail("EVAC", what);
  }
  if (const auto cold = cold_until_.find(upstream.id);
      cold != cold_until_.end() && now < cold->second) {
    auto& openings = cold_openings_[upstream.id];
    openings.push_back(now);
    while (now - openings.front() >= seconds(1)) {
      openings.pop_front();
    }
    if (openings.size() > cold_flows_per_second) {
      fail("FAILBACK", what);
    }
  }
}

void guarantee_checker::on_packet(const fake_upstream& upstream,
                                  const std::string& owner,
                                  const flow_ends& flow, time_point now) {
  if (owner != upstream.id && is_upstream_stable(owner, now)) {
    fail("FLOW",
         to_string(flow.caller) + " of " + owner + " reached " + upstream.id);
  }
}

void guarantee_checker::on_reset(const flow_ends& flow,
                                 const std::string& owner, time_point now) {
  const auto found = routes_.find(flow.service);
  const bool is_routed =
      found != routes_.end() && !found->second.back().service.empty();
  if (!owner.empty() && is_routed && is_upstream_stable(owner, now)) {
    fail("FLOW", to_string(flow.caller) + " open at " + owner + " was reset");
  }
}

void guarantee_checker::fail(const std::string& rule, const std::string& what) {
  violations.push_back(rule + ": " + what);
}

}  // namespace rosemarydrum
