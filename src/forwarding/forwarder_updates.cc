#include <algorithm>
#include <utility>

#include "rosemarydrum/forwarding/forwarder.h"

namespace rosemarydrum {
namespace {

/// Packets that were queued while the process did not run are read within this
/// time.
constexpr milliseconds backlog_drain_time{20};
/// After a stall of at least this time, no flows are placed until the fleet's
/// state has been confirmed or `confirmation_timeout` has passed.
constexpr milliseconds min_long_stall{1000};
constexpr milliseconds confirmation_timeout{600};
/// Until the fabric has noticed that a new process is ready, it may send later
/// packets of flows that were placed here to other forwarders.
constexpr milliseconds rotation_delay{1000};

}  // namespace

void forwarder::on_update(const fleet_update& update, time_point now) {
  confirmed_ = update.confirmed_at;
  placement_.set_confirmed(update.confirmed_at);
  ability_.set_confirmed(update.confirmed_at);
  data_centre_peers_ = update.data_centre_peers;
  if (update.members) {
    placement_.set_members(*update.members);
  }
  if (update.reconnected) {
    // Handshakes that failed while this process was cut off do not count
    // against upstreams.
    placement_.reset_handshake_health();
    placement_.expect_entries(now + max_entry_age);
    ability_.reset();
    stalls_.restart(now);
  }
  for (const auto& change : update.changes) {
    on_change(change, now);
  }
  routes_confirmed_ = update.configuration_confirmed_at;
  end_flows_without_route(now);
  for (const auto& record : update.flows) {
    on_flow_record(record, now);
  }
  for (const auto& [reporter, failures] : update.failures) {
    if (const auto index = directory_.find(failures.upstream)) {
      on_failures(*index, failures.count, now);
    }
  }
  for (const auto& reported : update.sightings) {
    on_sighting(reported, now);
  }
}

void forwarder::on_change(const fleet_change& change, time_point now) {
  if (const auto* upstream = std::get_if<upstream_change>(&change.content)) {
    if (change.supersedes) {
      directory_.reset_revision(upstream->record.key);
    }
    if (const auto index = directory_.apply(*upstream, change.changed, now)) {
      placement_.on_record(*index, now);
    }
  } else if (const auto* routes =
                 std::get_if<configuration_change>(&change.content)) {
    if (change.supersedes || change.changed > routes_revision_) {
      if (!routes_.is_known()) {
        handshake_health_since_ = now + rotation_delay;
      }
      routes_revision_ = change.changed;
      routes_ = route_table(routes->value);
      flows_.set_idle_lifetime(routes_.idle_timeout());
      std::erase_if(response_baselines_, [&](const auto& entry) {
        return std::none_of(
            routes->value->routes.begin(), routes->value->routes.end(),
            [&](const auto& each) { return each.name == entry.first; });
      });
      expect_cold_upstreams(now);
    }
  } else if (const auto* state =
                 std::get_if<data_centre_change>(&change.content)) {
    if (change.supersedes) {
      data_centres_[state->name].changed = {};
    }
    on_data_centre(*state, change.changed, now);
  }
}

void forwarder::on_data_centre(const data_centre_change& change,
                               revision changed, time_point now) {
  auto& known = data_centres_[change.name];
  const bool is_known = changed == known.changed && !change.back_for;
  if (changed < known.changed || is_known) {
    return;
  }
  if (!change.out && (known.out || change.back_for)) {
    known.back_at = now - change.back_for.value_or(milliseconds(0));
    expect_cold_upstreams(now);
  }
  known.changed = changed;
  if (known.out != change.out) {
    known.out = change.out;
    known.since = now;
  }
  placement_.set_out(change.name, change.out);
}

// Upstreams that became cold before their data centre was put back may say so
// only later. This process need not have seen the data centre out.
void forwarder::expect_cold_upstreams(time_point now) {
  const auto cold_time = max_entry_age + routes_.longest_warmup();
  for (const auto& [name, state] : data_centres_) {
    if (state.back_at && now < *state.back_at + cold_time) {
      placement_.treat_as_cold(name, *state.back_at + cold_time);
    }
  }
}

void forwarder::on_stall(duration stalled, time_point now) {
  handshake_deadlines_.clear();
  response_deadlines_.clear();
  repeated_.clear();
  unreported_losses_.clear();
  stalls_.restart(now);
  stall_ended_at_ = now;
  stale_packets_until_ = now + backlog_drain_time;
  if (stalled >= min_long_stall) {
    stale_state_until_ = now + confirmation_timeout;
  }
}

// Callers have given up opening packets that were queued while the process did
// not run. Packets received later would be placed according to a fleet state
// that may be as old as the stall was long.
bool forwarder::is_recovering_from_stall(time_point now) const {
  return now < stale_packets_until_ ||
         (now < stale_state_until_ && confirmed_ < stall_ended_at_);
}

void forwarder::report_slow_starts(time_point now) {
  placement_.expire_slow_starts(now);
  for (const auto& [upstream, entered] : placement_.take_slow_start_changes()) {
    if (entered) {
      observer_.on_slow_start_entered(directory_.at(upstream), now);
    } else {
      observer_.on_slow_start_left(directory_.at(upstream), now);
    }
  }
}

void forwarder::tick(time_point now) {
  check_response_timeouts(now);
  for (const auto& change : overload_.adjust(now)) {
    observer_.on_limit_change(change, now);
  }
  placement_.restore_ejected(now, [this, now](upstream_index index) {
    observer_.on_restored(directory_.at(index), now);
  });
  report_slow_starts(now);
  flows_.expire(now, [this, now](open_flow& flow) {
    if (flow.stage == flow_stage::opening && flow.load != flow_load::none) {
      observer_.on_unanswered(flow, directory_.at(flow.upstream), now);
    }
    set_load(flow, flow_load::none);
  });
  const bool was_unable = std::exchange(is_unable_, ability_.is_unable(now));
  if (was_unable && !is_unable_) {
    // Nearly all flows failed, so individual upstreams were not the cause.
    // Their health is also out of date, because none has been tried since.
    placement_.reset_handshake_health();
  }
  records_.expire(now);
  directory_.forget_gone(now, [this](upstream_index index) {
    flows_.erase_if(
        [index](const open_flow& flow) { return flow.upstream == index; });
    placement_.forget(index);
    stalls_.forget(index);
    watched_.erase(index);
    const auto is_gone = [index](const auto& each) {
      return each.upstream == index;
    };
    std::erase_if(sightings_, is_gone);
    std::erase_if(unreported_losses_, is_gone);
  });
}

}  // namespace rosemarydrum
