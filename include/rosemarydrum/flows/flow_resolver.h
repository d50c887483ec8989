#pragma once

#include <functional>
#include <map>
#include <span>
#include <vector>

#include "rosemarydrum/balancer/action.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Asks other balancers for the upstream of a flow. Packets and asks that need
/// the answer wait here, up to a limit.
class flow_resolver {
 public:
  /// Resumes a waiting packet or ask with the flow's upstream, 0 if unknown.
  using continuation = std::function<void(upstream_run, time_point, actions&)>;

  /// Asks `first` and, if it does not know the flow, all of `others`. Calls
  /// `then` at once with 0 if too many flows, or packets of this flow, wait.
  void resolve(const flow_key& flow, balancer_id first,
               std::span<const balancer_id> others, continuation then,
               time_point now, actions& out);
  void on_answer(balancer_id from, const flow_answer& answer, time_point now,
                 actions& out);
  /// Ends the query rounds that have had no result for 60 ms. A query is given
  /// up after its second round.
  void tick(time_point now, actions& out);

  /// Number of flows with an open query.
  std::size_t waiting() const { return queries_.size(); }

 private:
  struct query {
    std::vector<balancer_id> others;
    std::vector<balancer_id> unanswered;
    bool asked_others = false;
    time_point round_deadline;
    std::vector<continuation> continuations;
  };

  using query_map = std::map<flow_key, query>;

  void next_round(query_map::iterator it, time_point now, actions& out);
  void finish(query_map::iterator it, upstream_run upstream, time_point now,
              actions& out);

  query_map queries_;
};

}  // namespace rosemarydrum
