#include "rosemarydrum/membership/membership.h"

#include <algorithm>

#include "rosemarydrum/rendezvous.h"

namespace rosemarydrum {
namespace {

// Send times kept for each peer. A lease of 1.5 s spans 5 heartbeats.
constexpr std::size_t max_sent_times = 16;

void add_event(actions& out, event_id id, balancer_id peer,
               data_centre_id data_centre) {
  event_record event;
  event.id = id;
  event.data_centre = data_centre;
  event.detail = value_of(peer);
  out.emplace_back(record_event{event});
}

}  // namespace

membership::membership(balancer_run self, data_centre_id data_centre)
    : self_(self), data_centre_(data_centre) {}

void membership::set_configured(const configuration& current) {
  std::map<balancer_id, peer_entry> next;
  for (const auto& [id, centre] : current.data_centres) {
    for (const balancer_entry& entry : centre.balancers) {
      const auto previous = peers_.find(entry.id);
      peer_entry& updated = next[entry.id];
      if (previous != peers_.end()) {
        updated = previous->second;
      }
      updated.data_centre = id;
    }
  }
  peers_ = std::move(next);
  if (const auto own = peers_.find(self_.id); own != peers_.end()) {
    own->second.run = self_.run;
  }
}

milliseconds membership::timeout_of(const peer_entry& peer) const {
  return peer.data_centre == data_centre_ ? suspicion_timeout
                                          : remote_suspicion_timeout;
}

bool membership::on_heartbeat(balancer_run from, const heartbeat& beat,
                              time_point now, actions& out) {
  const auto found = peers_.find(from.id);
  if (found == peers_.end() || from.id == self_.id ||
      from.run == incarnation{} || from.run == found->second.previous_run) {
    return false;
  }
  peer_entry& peer = found->second;
  const bool first = from.run != peer.run;
  if (first) {
    peer.previous_run = peer.run;
    peer.run = from.run;
    peer.run_since = now;
    peer.leaving = false;
    peer.suspected = true;
    peer.last_received = 0;
    // Only echoes of heartbeats sent from now on prove that this run is live.
    peer.last_echo = peer.last_sent;
  }
  if (beat.sequence <= peer.last_received) {
    return first;
  }
  peer.last_received = beat.sequence;
  if (beat.leaving && !peer.leaving) {
    add_event(out, event_id::peer_leaving, from.id, peer.data_centre);
  }
  peer.leaving = beat.leaving;
  const auto sent = sent_at(from.id, beat.echo);
  if (beat.echo <= peer.last_echo || !sent || now - *sent >= timeout_of(peer)) {
    peer.echo_pending = true;
    return first;
  }
  peer.last_echo = beat.echo;
  peer.last_echoed = now;
  if (peer.suspected) {
    peer.suspected = false;
    add_event(out, event_id::peer_joined, from.id, peer.data_centre);
  }
  return first;
}

// Within a data centre all members exchange heartbeats. Two balancers of
// different data centres do so if one is among the first
// `remote_heartbeat_peers` of the other's rendezvous order; both ends compute
// the same result. While too few of these are live, the remaining members are
// tried round-robin.
bool membership::is_heartbeat_peer(balancer_id id, const peer_entry& peer,
                                   time_point now) const {
  if (peer.data_centre == data_centre_) {
    return true;
  }
  const auto is_among_first = [](std::span<const balancer_id> order,
                                 balancer_id wanted) {
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(
                                         remote_heartbeat_peers, order.size()));
    return std::find(order.begin(), end, wanted) != end;
  };
  const auto ours =
      rendezvous_order(value_of(self_.id), configured(peer.data_centre));
  const auto theirs = rendezvous_order(value_of(id), configured(data_centre_));
  if (is_among_first(ours, id) || is_among_first(theirs, self_.id)) {
    return true;
  }
  std::size_t live = 0;
  std::vector<balancer_id> fallbacks;
  for (std::size_t i = 0; i < ours.size(); ++i) {
    if (i >= remote_heartbeat_peers) {
      fallbacks.push_back(ours[i]);
    } else if (is_live(ours[i], now)) {
      ++live;
    }
  }
  if (live >= remote_heartbeat_peers) {
    return false;
  }
  // Live fallbacks are used first. If they are too few, one fallback per
  // interval is probed round-robin.
  for (const balancer_id candidate : fallbacks) {
    if (is_live(candidate, now)) {
      if (candidate == id) {
        return true;
      }
      if (++live >= remote_heartbeat_peers) {
        return false;
      }
    }
  }
  const auto round = static_cast<std::size_t>(now.time_since_epoch() /
                                              remote_heartbeat_interval);
  return fallbacks[round % fallbacks.size()] == id;
}

std::vector<balancer_id> membership::due_heartbeat_peers(time_point now,
                                                         actions& out) {
  std::vector<balancer_id> result;
  for (auto& [id, peer] : peers_) {
    if (id == self_.id) {
      continue;
    }
    if (!peer.suspected && now - peer.last_echoed >= timeout_of(peer)) {
      peer.suspected = true;
      add_event(out, event_id::peer_suspected, id, peer.data_centre);
    }
    if (now < peer.next_due) {
      continue;
    }
    if (!peer.echo_pending && !is_heartbeat_peer(id, peer, now)) {
      peer.next_due = now + heartbeat_interval;  // Checks again then.
      continue;
    }
    const milliseconds interval = peer.data_centre == data_centre_
                                      ? heartbeat_interval
                                      : remote_heartbeat_interval;
    // Keeps the sending phase unless this process was paused.
    peer.next_due = std::max(peer.next_due + interval, now + interval / 2);
    result.push_back(id);
  }
  return result;
}

heartbeat membership::next_heartbeat(balancer_id to, revision configuration,
                                     bool leaving, time_point now) {
  heartbeat beat;
  beat.data_centre = data_centre_;
  beat.configuration = configuration;
  beat.leaving = leaving;
  if (const auto own = peers_.find(self_.id); own != peers_.end()) {
    own->second.leaving = leaving;
  }
  if (const auto found = peers_.find(to); found != peers_.end()) {
    peer_entry& peer = found->second;
    beat.sequence = ++peer.last_sent;
    beat.echo = peer.last_received;
    peer.echo_pending = false;
    peer.sent_times.emplace(beat.sequence, now);
    if (peer.sent_times.size() > max_sent_times) {
      peer.sent_times.erase(peer.sent_times.begin());
    }
  }
  return beat;
}

std::optional<time_point> membership::sent_at(balancer_id to,
                                              std::uint64_t sequence) const {
  if (const auto found = peers_.find(to); found != peers_.end()) {
    const auto& times = found->second.sent_times;
    if (const auto sent = times.find(sequence); sent != times.end()) {
      return sent->second;
    }
  }
  return std::nullopt;
}

bool membership::is_live(balancer_id id, time_point now) const {
  if (id == self_.id) {
    return true;
  }
  const auto found = peers_.find(id);
  return found != peers_.end() && !found->second.suspected &&
         now - found->second.last_echoed < timeout_of(found->second);
}

bool membership::is_serving(balancer_id id, time_point now) const {
  const auto found = peers_.find(id);
  const bool leaving = found != peers_.end() && found->second.leaving;
  return is_live(id, now) && !leaving;
}

incarnation membership::run_of(balancer_id id) const {
  if (id == self_.id) {
    return self_.run;
  }
  const auto found = peers_.find(id);
  return found == peers_.end() ? incarnation{} : found->second.run;
}

std::vector<balancer_id> membership::configured(
    data_centre_id data_centre) const {
  std::vector<balancer_id> result;
  for (const auto& [id, peer] : peers_) {
    if (peer.data_centre == data_centre) {
      result.push_back(id);
    }
  }
  return result;
}

std::vector<balancer_id> membership::serving(data_centre_id data_centre,
                                             time_point now) const {
  auto result = configured(data_centre);
  std::erase_if(result, [&](balancer_id id) { return !is_serving(id, now); });
  return result;
}

std::vector<balancer_id> membership::may_have_running_requests(
    time_point started, time_point now) const {
  auto result = configured(data_centre_);
  if (now - started < max_run_time) {
    return result;
  }
  std::erase_if(result, [&](balancer_id id) {
    return id != self_.id && now - peers_.at(id).last_echoed >= max_run_time;
  });
  return result;
}

bool membership::restarted_recently(balancer_id id, time_point now) const {
  const auto found = peers_.find(id);
  return found != peers_.end() && id != self_.id &&
         found->second.previous_run != incarnation{} &&
         now - found->second.run_since < max_run_time;
}

bool membership::is_in_cell(balancer_id id) const {
  const auto found = peers_.find(id);
  return found != peers_.end() && found->second.data_centre == data_centre_;
}

}  // namespace rosemarydrum
