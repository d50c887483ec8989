#pragma once

#include <functional>
#include <map>
#include <span>
#include <vector>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Asks other balancers for the upstream of a flow and keeps what waits for
/// the answer, in bounds.
class flow_resolver {
 public:
  /// A packet or ask that waits; resumed with the upstream, 0 if unknown.
  using continuation = std::function<void(upstream_run, time_point, actions&)>;

  /// Asks `first`; if it does not know the flow, all of `others`. Continues
  /// at once with 0 if the bound of waiting flows is reached.
  void resolve(const flow_key& flow, balancer_id first,
               std::span<const balancer_id> others, continuation then,
               time_point now, actions& out);
  void on_answer(balancer_id from, const flow_answer& answer, time_point now,
                 actions& out);
  /// Gives up after 60 ms for each of the two rounds.
  void tick(time_point now, actions& out);

  std::size_t waiting() const { return queries_.size(); }

 private:
  struct query {
    std::vector<balancer_id> others;
    std::vector<balancer_id> unanswered;
    bool asked_others = false;
    time_point round_ends;
    std::vector<continuation> continuations;
  };

  using query_map = std::map<flow_key, query>;

  void next_round(query_map::iterator at, time_point now, actions& out);
  void finish(query_map::iterator at, upstream_run upstream, time_point now,
              actions& out);

  query_map queries_;
};

}  // namespace rosemarydrum
