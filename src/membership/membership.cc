#include "rosemarydrum/membership/membership.h"

#include <algorithm>

#include "rosemarydrum/rendezvous.h"

namespace rosemarydrum {
namespace {

// Send times kept for each peer: the lease of 1.5 s spans 5 heartbeats.
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
  std::map<balancer_id, peer> next;
  for (const auto& [id, centre] : current.data_centres) {
    for (const balancer_entry& entry : centre.balancers) {
      const auto known = peers_.find(entry.id);
      peer& listed = next[entry.id];
      if (known != peers_.end()) {
        listed = known->second;
      }
      listed.data_centre = id;
    }
  }
  peers_ = std::move(next);
  if (const auto own = peers_.find(self_.id); own != peers_.end()) {
    own->second.run = self_.run;
  }
}

milliseconds membership::timeout_of(const peer& known) const {
  return known.data_centre == data_centre_ ? suspicion_timeout
                                           : remote_suspicion_timeout;
}

bool membership::on_heartbeat(balancer_run from, const heartbeat& beat,
                              time_point now, actions& out) {
  const auto found = peers_.find(from.id);
  if (found == peers_.end() || from.id == self_.id ||
      from.run == incarnation{} || from.run == found->second.previous_run) {
    return false;
  }
  peer& known = found->second;
  const bool first = from.run != known.run;
  if (first) {
    known.previous_run = known.run;
    known.run = from.run;
    known.run_since = now;
    known.leaving = false;
    known.suspected = true;
    known.last_received = 0;
    // What the run before has echoed says nothing of this one.
    known.last_echo = known.last_sent;
  }
  if (beat.sequence <= known.last_received) {
    return first;
  }
  known.last_received = beat.sequence;
  if (beat.leaving && !known.leaving) {
    add_event(out, event_id::peer_leaving, from.id, known.data_centre);
  }
  known.leaving = beat.leaving;
  const auto sent = sent_at(from.id, beat.echo);
  if (beat.echo <= known.last_echo || !sent ||
      now - *sent >= timeout_of(known)) {
    known.owes_echo = true;
    return first;
  }
  known.last_echo = beat.echo;
  known.last_echoed = now;
  if (known.suspected) {
    known.suspected = false;
    add_event(out, event_id::peer_joined, from.id, known.data_centre);
  }
  return first;
}

// Within a data centre everybody is a contact. Between data centres a pair
// are contacts if one is among the first `remote_contacts` by the other's
// rendezvous order; both ends compute the same. While too few of these are
// live, further members are tried in turn.
bool membership::is_contact(balancer_id id, const peer& known,
                            time_point now) const {
  if (known.data_centre == data_centre_) {
    return true;
  }
  const auto among_first = [](std::span<const balancer_id> order,
                              balancer_id wanted) {
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(
                                         remote_contacts, order.size()));
    return std::find(order.begin(), end, wanted) != end;
  };
  const auto ours =
      rendezvous_order(value_of(self_.id), configured(known.data_centre));
  const auto theirs = rendezvous_order(value_of(id), configured(data_centre_));
  if (among_first(ours, id) || among_first(theirs, self_.id)) {
    return true;
  }
  std::size_t live = 0;
  std::vector<balancer_id> spare;
  for (std::size_t i = 0; i < ours.size(); ++i) {
    if (i >= remote_contacts) {
      spare.push_back(ours[i]);
    } else if (is_live(ours[i], now)) {
      ++live;
    }
  }
  if (live >= remote_contacts) {
    return false;
  }
  // The first live spares are kept; otherwise they are tried in turn.
  for (const balancer_id candidate : spare) {
    if (is_live(candidate, now)) {
      if (candidate == id) {
        return true;
      }
      if (++live >= remote_contacts) {
        return false;
      }
    }
  }
  const auto turn = static_cast<std::size_t>(now.time_since_epoch() /
                                             remote_heartbeat_interval);
  return spare[turn % spare.size()] == id;
}

std::vector<balancer_id> membership::due(time_point now, actions& out) {
  std::vector<balancer_id> result;
  for (auto& [id, known] : peers_) {
    if (id == self_.id) {
      continue;
    }
    if (!known.suspected && now - known.last_echoed >= timeout_of(known)) {
      known.suspected = true;
      add_event(out, event_id::peer_suspected, id, known.data_centre);
    }
    if (now < known.next_due) {
      continue;
    }
    if (!known.owes_echo && !is_contact(id, known, now)) {
      known.next_due = now + heartbeat_interval;  // Looked at again then.
      continue;
    }
    const milliseconds interval = known.data_centre == data_centre_
                                      ? heartbeat_interval
                                      : remote_heartbeat_interval;
    // Keeps the phase unless this process was paused.
    known.next_due = std::max(known.next_due + interval, now + interval / 2);
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
    peer& known = found->second;
    beat.sequence = ++known.last_sent;
    beat.echo = known.last_received;
    known.owes_echo = false;
    known.sent_times.emplace(beat.sequence, now);
    if (known.sent_times.size() > max_sent_times) {
      known.sent_times.erase(known.sent_times.begin());
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
  for (const auto& [id, known] : peers_) {
    if (known.data_centre == data_centre) {
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

std::vector<balancer_id> membership::possibly_running(time_point started,
                                                      time_point now) const {
  auto result = configured(data_centre_);
  if (now - started < max_run_time) {
    return result;
  }
  std::erase_if(result, [&](balancer_id id) {
    return id != self_.id && now - peers_.at(id).last_echoed >= max_run_time;
  });
  return result;
}

bool membership::replaced_recently(balancer_id id, time_point now) const {
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
