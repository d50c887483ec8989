#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/fake_upstream.h"
#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Checks the guarantees to users from what upstreams and callers observe.
class guarantee_checker {
 public:
  static constexpr milliseconds configuration_bound{3000};
  static constexpr milliseconds drain_bound{3000};
  static constexpr milliseconds data_centre_bound{5000};
  /// A forwarder or upstream is stable if no fault has disturbed it for this
  /// long.
  static constexpr milliseconds stability{4000};
  static constexpr std::size_t cold_flows_per_second = 5;

  /// Records that one forwarder, or the store and thereby all forwarders, is
  /// disturbed until `until`.
  void disturb(const std::string& node, time_point until);
  void disturb_all(time_point until);

  /// Records that the route of this service address leads to `service` from
  /// `now` on; an empty `service` means that the route is removed.
  void on_route(const endpoint& address, const std::string& service,
                time_point now);
  void on_draining(const std::string& upstream, time_point now);
  void on_evacuation(const std::string& name, bool evacuated, time_point now);
  void on_cold(const std::string& upstream, time_point until);
  /// Records that an upstream was stopped, started or cut off. Its flows are
  /// not checked until it is stable again.
  void on_disturbed_upstream(const std::string& upstream, time_point now);

  /// Records a packet that a caller has sent.
  void on_sent(const bytes& datagram);
  /// Checks an opening packet that an upstream accepted through `node`.
  void on_opening(const fake_upstream& upstream, const std::string& node,
                  const flow_ends& flow, time_point now);
  /// Checks a later packet of a flow that is open at `owner`.
  void on_packet(const fake_upstream& upstream, const std::string& owner,
                 const flow_ends& flow, time_point now);
  /// Checks that a caller sent this packet, which an upstream received. The
  /// 8 bytes that the forwarder put before it are already removed.
  void on_received(bytes_view datagram);
  /// Checks a reset that the system sent to a caller. `owner` is the flow's
  /// upstream, or empty if the flow is not open.
  void on_reset(const flow_ends& flow, const std::string& owner,
                time_point now);

  void fail(const std::string& rule, const std::string& what);

  /// Violated guarantees, one line each.
  std::vector<std::string> violations;

 private:
  struct route_change {
    time_point at;
    std::string service;
  };

  bool is_forwarder_stable(const std::string& node, time_point now) const;
  bool is_upstream_stable(const std::string& upstream, time_point now) const;
  void check_route(const fake_upstream& upstream, const std::string& node,
                   const flow_ends& flow, time_point now);

  std::map<std::string, time_point> disturbed_until_;
  time_point all_disturbed_until_;
  std::map<endpoint, std::vector<route_change>> routes_;
  std::map<std::string, time_point> draining_since_;
  std::map<std::string, time_point> evacuated_since_;
  std::map<std::string, time_point> cold_until_;
  std::map<std::string, std::deque<time_point>> cold_openings_;
  std::map<std::string, time_point> upstream_disturbed_;
  /// Hashes of the packets that callers have sent, without their tags.
  std::set<std::uint64_t> sent_;
};

}  // namespace rosemarydrum
