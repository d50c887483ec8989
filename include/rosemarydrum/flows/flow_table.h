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
  /// A flow without packets for this long is removed.
  seconds idle_time{300};
  /// A copy waits at most this long for others, so that copies are sent in
  /// batches.
  milliseconds copy_interval{100};
  /// Maximum number of flows in one flow_copy.
  std::size_t max_copies = 180;
};

/// Bindings of flows to upstreams, for callers that do not echo tokens.
class flow_table {
 public:
  explicit flow_table(flow_table_settings settings = {});
  ~flow_table();

  /// Binds a flow or renews its binding. With `needs_copy`, which is for
  /// bindings that no other balancer knows, a changed binding is copied with
  /// the next batch. If `max_flows` are bound, a new flow is not kept, because
  /// dropping another one would break an established flow.
  void bind(const flow_key& flow, upstream_run upstream, bool needs_copy,
            time_point now);
  /// Finds a binding by flow key, otherwise a copied one by fingerprint, and
  /// renews it.
  std::optional<upstream_run> find(const flow_key& flow, time_point now);
  void erase(const flow_key& flow);
  /// Ends all flows of an upstream.
  void erase_upstream(upstream_id upstream);

  /// Returns the copies that are due, for the host to send to the cell's next
  /// balancer. A copy names an upstream by its index in the service's list of
  /// `config`.
  std::vector<flow_copy> take_copies(const configuration& config,
                                     time_point now);
  void on_copy(const flow_copy& copy, const configuration& config,
               time_point now);

  /// Removes the idle flows of the next 64th of the table.
  void tick(time_point now);
  /// Number of exact and copied bindings.
  std::size_t size() const;
  /// Memory of the exact bindings, in bytes.
  std::size_t memory_bytes() const;

  /// A 4-byte hash that identifies a flow among those of one service.
  static std::uint32_t fingerprint(const flow_key& flow);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace rosemarydrum
