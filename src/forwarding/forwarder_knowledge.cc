#include <algorithm>
#include <utility>

#include "rosemarydrum/forwarding/forwarder.h"

namespace rosemarydrum {
namespace {

/// An upstream writes its entry this often at least, so that the entry of one
/// that has become cold may be as old.
constexpr milliseconds entry_delay{2000};
/// What waited while the process did not run is read within this time.
constexpr milliseconds backlog_time{20};
/// After a longer stall than this, what is known has to be confirmed before
/// flows are placed by it, or this much time must have passed.
constexpr milliseconds long_stall{1000};
constexpr milliseconds knowledge_patience{600};
/// Until the fabric has seen that a new process is ready, it may send the later
/// packets of the flows that are placed here to other forwarders.
constexpr milliseconds rotation_time{1000};

}  // namespace

void forwarder::on_update(const fleet_update& news, time_point now) {
  confirmed_ = news.confirmed_at;
  placement_.set_confirmed(news.confirmed_at);
  ability_.set_confirmed(news.confirmed_at);
  if (news.members) {
    placement_.set_members(*news.members);
  }
  if (news.reconnected) {
    // What was seen while this process was cut off says nothing of upstreams.
    placement_.forget_silence();
    ability_.reset();
  }
  for (const auto& change : news.changes) {
    on_change(change, now);
  }
  for (const auto& [key, count] : news.failures) {
    if (const auto index = directory_.find(key)) {
      on_failures(*index, count, now);
    }
  }
}

void forwarder::on_change(const fleet_change& change, time_point now) {
  if (const auto* upstream = std::get_if<upstream_change>(&change.what)) {
    if (const auto index = directory_.apply(*upstream, change.changed, now)) {
      placement_.on_record(*index);
    }
  } else if (const auto* routes =
                 std::get_if<configuration_change>(&change.what)) {
    if (change.changed > routes_changed_) {
      if (!routes_.is_known()) {
        evidence_from_ = now + rotation_time;
      }
      routes_changed_ = change.changed;
      routes_ = route_table(routes->value);
      std::erase_if(baselines_, [&](const auto& entry) {
        return std::none_of(
            routes->value->routes.begin(), routes->value->routes.end(),
            [&](const auto& each) { return each.name == entry.first; });
      });
    }
  } else if (const auto* state =
                 std::get_if<data_centre_change>(&change.what)) {
    on_data_centre(*state, change.changed, now);
  }
}

void forwarder::on_data_centre(const data_centre_change& change,
                               revision changed, time_point now) {
  auto& known = data_centres_[change.name];
  if (changed <= known.changed) {
    return;
  }
  if (known.out && !change.out) {
    placement_.spare(change.name, entry_delay + routes_.longest_warmup(), now);
  }
  known.changed = changed;
  if (known.out != change.out) {
    known.out = change.out;
    known.since = now;
  }
  placement_.set_out(change.name, change.out);
}

void forwarder::on_stall(duration stalled, time_point now) {
  openings_.clear();
  answers_.clear();
  stall_ends_ = now;
  old_packets_until_ = now + backlog_time;
  if (stalled >= long_stall) {
    old_knowledge_until_ = now + knowledge_patience;
  }
}

// Opening packets that waited while the process did not run have been given up
// by their callers. Those that come later are placed by what is known, which
// may be as old as the stall.
bool forwarder::is_too_old(time_point now) const {
  return now < old_packets_until_ ||
         (now < old_knowledge_until_ && confirmed_ < stall_ends_);
}

void forwarder::tick(time_point now) {
  check_answers(now);
  placement_.restore_ejected(now, [this, now](upstream_index index) {
    observer_.on_restored(directory_.at(index), now);
  });
  flows_.expire(now, [this, now](open_flow& flow) {
    if (flow.stage == flow_stage::opening && flow.counted) {
      observer_.on_unanswered(flow, directory_.at(flow.upstream), now);
    }
    end(flow);
  });
  const bool was_unable = std::exchange(is_unable_, ability_.is_unable(now));
  if (was_unable && !is_unable_) {
    // If nearly nothing answered, that says little of single upstreams, and
    // none was tried since.
    placement_.forget_silence();
  }
  directory_.forget_gone(now, [this](upstream_index index) {
    flows_.erase_if(
        [index](const open_flow& flow) { return flow.upstream == index; });
    placement_.forget(index);
  });
}

}  // namespace rosemarydrum
