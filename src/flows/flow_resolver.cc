#include "rosemarydrum/flows/flow_resolver.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {
namespace {

// A balancer of the same data centre answers within a few milliseconds, so
// that this allows for one lost message and a busy peer.
constexpr milliseconds round_time{60};
constexpr std::size_t max_waiting_flows = 4096;
/// Packets of one flow that wait; each holds up to 1 KiB.
constexpr std::size_t max_waiting_packets = 16;

void ask(balancer_id to, const flow_key& flow, actions& out) {
  out.emplace_back(send_to_peer{to, {}, flow_ask{flow}});
}

}  // namespace

void flow_resolver::resolve(const flow_key& flow, balancer_id first,
                            std::span<const balancer_id> others,
                            continuation then, time_point now, actions& out) {
  if (const auto known = queries_.find(flow); known != queries_.end()) {
    auto& waiting = known->second.continuations;
    if (waiting.size() < max_waiting_packets) {
      waiting.push_back(std::move(then));
      return;
    }
    then({}, now, out);
    return;
  }
  if (queries_.size() >= max_waiting_flows) {
    then({}, now, out);
    return;
  }
  query& q = queries_[flow];
  std::copy_if(others.begin(), others.end(), std::back_inserter(q.others),
               [first](balancer_id other) { return other != first; });
  q.unanswered = {first};
  q.round_ends = now + round_time;
  q.continuations.push_back(std::move(then));
  ask(first, flow, out);
}

void flow_resolver::on_answer(balancer_id from, const flow_answer& answer,
                              time_point now, actions& out) {
  const auto found = queries_.find(answer.flow);
  if (found == queries_.end()) {
    return;
  }
  query& q = found->second;
  // Only balancers that were asked are believed, each of them once.
  if (std::erase(q.unanswered, from) == 0) {
    return;
  }
  if (answer.upstream.id != upstream_id{}) {
    finish(found, answer.upstream, now, out);
  } else if (q.unanswered.empty()) {
    next_round(found, now, out);
  }
}

void flow_resolver::tick(time_point now, actions& out) {
  std::vector<flow_key> due;
  for (const auto& [flow, q] : queries_) {
    if (q.round_ends <= now) {
      due.push_back(flow);
    }
  }
  for (const flow_key& flow : due) {
    // A continuation of another flow may have changed the table.
    if (const auto found = queries_.find(flow);
        found != queries_.end() && found->second.round_ends <= now) {
      next_round(found, now, out);
    }
  }
}

void flow_resolver::next_round(query_map::iterator at, time_point now,
                               actions& out) {
  query& q = at->second;
  if (q.asked_others || q.others.empty()) {
    finish(at, {}, now, out);
    return;
  }
  q.asked_others = true;
  q.round_ends = now + round_time;
  // A late answer of the first one still counts.
  q.unanswered.insert(q.unanswered.end(), q.others.begin(), q.others.end());
  for (const balancer_id other : q.others) {
    ask(other, at->first, out);
  }
}

void flow_resolver::finish(query_map::iterator at, upstream_run upstream,
                           time_point now, actions& out) {
  // A continuation may resolve the flow again.
  const auto continuations = std::move(at->second.continuations);
  queries_.erase(at);
  for (const continuation& then : continuations) {
    then(upstream, now, out);
  }
}

}  // namespace rosemarydrum
