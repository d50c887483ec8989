#include "rosemarydrum/flows/flow_resolver.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {
namespace {

// A balancer of the same data centre answers within a few milliseconds. The
// rest allows for a lost message and a busy peer.
constexpr milliseconds round_timeout{60};
constexpr std::size_t max_waiting_flows = 4096;
/// Each waiting packet holds up to 1 KiB.
constexpr std::size_t max_waiting_packets_per_flow = 16;

void send_ask(balancer_id to, const flow_key& flow, actions& out) {
  out.emplace_back(send_to_peer{to, {}, flow_ask{flow}});
}

}  // namespace

void flow_resolver::resolve(const flow_key& flow, balancer_id first,
                            std::span<const balancer_id> others,
                            continuation then, time_point now, actions& out) {
  if (const auto found = queries_.find(flow); found != queries_.end()) {
    auto& waiting = found->second.continuations;
    if (waiting.size() < max_waiting_packets_per_flow) {
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
  q.round_deadline = now + round_timeout;
  q.continuations.push_back(std::move(then));
  send_ask(first, flow, out);
}

void flow_resolver::on_answer(balancer_id from, const flow_answer& answer,
                              time_point now, actions& out) {
  const auto found = queries_.find(answer.flow);
  if (found == queries_.end()) {
    return;
  }
  query& q = found->second;
  // Accepts one answer from each balancer that was asked.
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
    if (q.round_deadline <= now) {
      due.push_back(flow);
    }
  }
  for (const flow_key& flow : due) {
    // A continuation of another flow may have changed `queries_`.
    if (const auto found = queries_.find(flow);
        found != queries_.end() && found->second.round_deadline <= now) {
      next_round(found, now, out);
    }
  }
}

void flow_resolver::next_round(query_map::iterator it, time_point now,
                               actions& out) {
  query& q = it->second;
  if (q.asked_others || q.others.empty()) {
    finish(it, {}, now, out);
    return;
  }
  q.asked_others = true;
  q.round_deadline = now + round_timeout;
  // A late answer of the first balancer is still accepted.
  q.unanswered.insert(q.unanswered.end(), q.others.begin(), q.others.end());
  for (const balancer_id other : q.others) {
    send_ask(other, it->first, out);
  }
}

void flow_resolver::finish(query_map::iterator it, upstream_run upstream,
                           time_point now, actions& out) {
  // Erased first, because a continuation may resolve the flow again.
  const auto continuations = std::move(it->second.continuations);
  queries_.erase(it);
  for (const continuation& then : continuations) {
    then(upstream, now, out);
  }
}

}  // namespace rosemarydrum
