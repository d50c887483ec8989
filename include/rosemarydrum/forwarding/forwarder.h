#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/fleet_change.h"
#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/open_flows.h"
#include "rosemarydrum/forwarding/placement.h"
#include "rosemarydrum/forwarding/route_table.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

struct forwarder_settings {
  std::string data_centre;
  duration flow_lifetime = default_flow_lifetime;
  std::uint64_t seed = 1;
};

enum class packet_fate : std::uint8_t {
  /// Send it to the upstream.
  forward,
  /// End the flow towards the caller.
  reset,
  /// Do nothing.
  discard,
};

enum class fate_reason : std::uint8_t {
  /// A new flow was placed, or one that was not answered is placed again.
  placed,
  /// The packet belongs to a flow with an upstream.
  established,
  no_route,
  no_upstream,
  /// Its tag names no upstream that is known here.
  unknown_tag,
  /// It is neither a caller's packet of a flow nor opens one.
  not_a_callers_packet,
  count
};

/// What to do with one packet.
struct packet_verdict {
  packet_fate fate = packet_fate::discard;
  fate_reason reason = fate_reason::not_a_callers_packet;
  upstream_key upstream{};
  upstream_tag tag{};
  endpoint to;
};

/// Decides where the packets of callers go. Has no I/O and reads no clock.
class forwarder {
 public:
  explicit forwarder(forwarder_settings settings);

  packet_verdict on_packet(const flow_packet& packet, time_point now);

  /// Changes of what the store holds; older ones than known are ignored.
  void on_change(const fleet_change& change, time_point now);
  /// The list of upstreams held exactly `present` at revision `at`.
  void on_upstream_list(std::span<const upstream_key> present, revision at,
                        time_point now);
  /// Forgets flows and upstreams whose time has passed.
  void tick(time_point now);

  const upstream_directory& directory() const { return directory_; }
  const route_table& routes() const { return routes_; }
  std::size_t flow_count() const { return flows_.size(); }

 private:
  packet_verdict on_opening(const flow_packet& packet, time_point now);
  packet_verdict on_established(const flow_packet& packet, time_point now);
  packet_verdict place(const flow_packet& packet, open_flow& flow,
                       std::optional<upstream_index> avoided, time_point now);
  packet_verdict to_upstream(upstream_index upstream, fate_reason reason) const;
  void open(open_flow& flow, upstream_index upstream, time_point now);
  void end(open_flow& flow);
  const fleet_service& service_of(upstream_index upstream) const;

  upstream_directory directory_;
  placement placement_;
  route_table routes_;
  revision routes_changed_{};
  std::map<std::string, revision> data_centres_changed_;
  open_flows flows_;
};

}  // namespace rosemarydrum
