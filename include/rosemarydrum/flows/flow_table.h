#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "rosemarydrum/balancer/peer_message.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

struct flow_table_settings {
  std::size_t max_flows = 1'000'000;
  /// A flow without packets for this long is forgotten.
  seconds idle_time{300};
  /// Copies wait at most this long, so that they travel in batches.
  milliseconds copy_interval{100};
  /// Flows in one flow_copy.
  std::size_t max_copies = 180;
};

/// Bindings of flows to upstreams, for callers that do not echo tokens.
class flow_table {
 public:
  explicit flow_table(flow_table_settings settings = {});
  ~flow_table();

  /// Binds or renews. `only_here`: no other balancer knows the binding, so it
  /// is copied with the next batch. With `max_flows` bound, a new flow is not
  /// kept, because dropping another one would break an established flow.
  void bind(const flow_key& flow, upstream_run upstream, bool only_here,
            time_point now);
  /// Finds an exact binding, then one copied as a fingerprint; renews it.
  std::optional<upstream_run> find(const flow_key& flow, time_point now);
  void erase(const flow_key& flow);
  /// Ends all flows of an upstream.
  void erase_upstream(upstream_id upstream);

  /// Copies that are due; the host sends them to the cell's next balancer.
  /// `services` gives the index of an upstream in its service's list.
  std::vector<flow_copy> take_copies(const configuration& services,
                                     time_point now);
  void on_copy(const flow_copy& copy, const configuration& services,
               time_point now);

  /// Forgets idle flows, a 64th of the table at a time.
  void tick(time_point now);
  /// Exact and copied bindings.
  std::size_t size() const;
  /// Memory of the exact bindings.
  std::size_t memory_bytes() const;

  /// 4 bytes that stand for a flow of a known service.
  static std::uint32_t fingerprint(const flow_key& flow);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace rosemarydrum
