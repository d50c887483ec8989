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

/// Checks the users' rules from what upstreams and callers see.
class promises {
 public:
  static constexpr milliseconds configuration_bound{3000};
  static constexpr milliseconds drain_bound{3000};
  static constexpr milliseconds data_centre_bound{5000};
  /// A forwarder is in touch if nothing has disturbed it for this long.
  static constexpr milliseconds stability{4000};
  static constexpr std::size_t cold_flows_per_second = 5;

  /// A forwarder, or the store for all of them, is disturbed until `until`.
  void disturb(const std::string& node, time_point until);
  void disturb_all(time_point until);

  /// The route to this service address goes to `service` from now on; empty:
  /// it is removed.
  void on_route(const endpoint& address, const std::string& service,
                time_point now);
  void on_leaving(const std::string& upstream, time_point now);
  void on_data_centre(const std::string& name, bool out, time_point now);
  void on_cold(const std::string& upstream, time_point until);
  /// An upstream was stopped, started or cut: its flows are not judged.
  void on_disturbed_upstream(const std::string& upstream, time_point now);

  /// A caller has sent this packet.
  void on_sent(const bytes& datagram);
  /// An upstream has taken an opening packet through `node`.
  void on_opening(const fake_upstream& upstream, const std::string& node,
                  const flow_ends& flow, time_point now);
  /// An upstream has taken another packet of a flow that is open at `owner`.
  void on_packet(const fake_upstream& upstream, const std::string& owner,
                 const flow_ends& flow, time_point now);
  /// What an upstream got, after the 8 bytes before the packet.
  void on_received(bytes_view datagram);
  /// A caller got a reset of the system for a flow; `owner` is its upstream if
  /// it is open.
  void on_reset(const flow_ends& flow, const std::string& owner,
                time_point now);

  void fail(const std::string& rule, const std::string& what);

  /// Broken promises, a line each.
  std::vector<std::string> broken;

 private:
  struct route_change {
    time_point at;
    std::string service;
  };

  bool is_in_touch(const std::string& node, time_point now) const;
  bool is_calm(const std::string& upstream, time_point now) const;
  void check_route(const fake_upstream& upstream, const std::string& node,
                   const flow_ends& flow, time_point now);

  std::map<std::string, time_point> disturbed_until_;
  time_point all_disturbed_until_;
  std::map<endpoint, std::vector<route_change>> routes_;
  std::map<std::string, time_point> leaving_;
  std::map<std::string, time_point> out_;
  std::map<std::string, time_point> cold_until_;
  std::map<std::string, std::deque<time_point>> cold_openings_;
  std::map<std::string, time_point> upstream_disturbed_;
  /// Hashes of what callers have sent, without their tags.
  std::set<std::uint64_t> sent_;
};

}  // namespace rosemarydrum
