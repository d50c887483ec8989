#include "rosemarydrum/spread/replica_spread.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "rosemarydrum/spread/member_codec.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds bulletin_interval{300};
/// A reader has stopped if no bulletin of it has come for this long.
constexpr milliseconds reader_timeout{700};
/// Ages of what is known, in percent of the longest. A reader's is younger than
/// the first; members take over one after the other, by rank.
constexpr int read_age_percent = 38;
constexpr int takeover_step_percent = 5;
constexpr std::size_t last_takeover_rank = 8;
/// Peers are asked for a value that the store has not given for this long.
constexpr milliseconds missing_patience{400};
constexpr milliseconds inquiry_interval{300};
constexpr std::size_t inquired_members = 2;
constexpr milliseconds fetch_interval{500};
/// All instances of a fleet start within this time of each other.
constexpr milliseconds join_time{600};
/// Messages that waited while the process did not run are read by then.
constexpr milliseconds stall_drain{100};
/// A member that has left takes part again with its next start.
constexpr seconds leaving_memory{30};
/// Items that are longer are read from the store by each member.
constexpr std::size_t longest_inline_value = 900;

/// Splits a listing into parts that fit a datagram. All but the last end at the
/// revision of their last item.
std::vector<item_listing> parts_of(item_listing listing) {
  std::vector<item_listing> parts;
  item_listing part;
  part.after = listing.after;
  std::size_t size = 0;
  for (auto& item : listing.items) {
    if (item.value.size() > longest_inline_value) {
      item.value.clear();
      item.omitted = true;
    }
    const auto bytes = item.key.size() + item.value.size() + 24;
    if (size > 0 && size + bytes > max_spread_datagram - 100 &&
        item.changed > part.items.back().changed) {
      part.at = part.items.back().changed;
      const auto end = part.at;
      parts.push_back(std::move(part));
      part = {};
      part.after = end;
      size = 0;
    }
    size += bytes;
    part.items.push_back(std::move(item));
  }
  part.at = listing.at;
  parts.push_back(std::move(part));
  return parts;
}

}  // namespace

replica_spread::replica_spread(spread_settings settings, item_replica& replica,
                               time_point now)
    : settings_(std::move(settings)),
      replica_(replica),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed)),
      next_fetch_(now) {}

void replica_spread::on_store(const item_listing& shown, time_point asked,
                              time_point now, spread_output& out) {
  store_answers_ = true;
  take_in(shown, asked, now, out);
  if (reads_) {
    publish(shown, now, out);
  }
}

void replica_spread::on_store_failure(time_point /*now*/) {
  store_answers_ = false;
}

void replica_spread::take_in(const item_listing& shown, time_point confirmed,
                             time_point now, spread_output& out) {
  auto fresh = replica_.apply(shown, now);
  if (replica_.at() >= shown.at && now >= trusted_from_) {
    replica_.confirm(confirmed);
  }
  update_members(fresh);
  out.fresh.insert(out.fresh.end(), std::make_move_iterator(fresh.begin()),
                   std::make_move_iterator(fresh.end()));
}

void replica_spread::update_members(const std::vector<kv_item>& fresh) {
  for (const auto& item : fresh) {
    if (!item.key.starts_with(members_prefix)) {
      continue;
    }
    ++members_version_;
    if (const auto member =
            item.removed ? std::nullopt : decode_member(item.key, item.value)) {
      members_[member->name] = *member;
    } else {
      members_.erase(item.key.substr(members_prefix.size()));
    }
  }
}

void replica_spread::on_message(const endpoint& from,
                                const spread_message& message, time_point now,
                                spread_output& out) {
  if (message.sender == settings_.self.name) {
    return;
  }
  if (const auto* told = std::get_if<bulletin>(&message.body)) {
    on_bulletin(message, *told, now, out);
  } else if (replica_.at() > message.at || is_fresh(now)) {
    answer(from, message.at, now, out);
  }
}

void replica_spread::on_bulletin(const spread_message& message,
                                 const bulletin& told, time_point now,
                                 spread_output& out) {
  const bool had_gap = told.listing.after > replica_.at();
  take_in(told.listing, now - told.age, now, out);
  if (had_gap && !told.listing.complete) {
    next_inquiry_ = std::min(next_inquiry_, now);
    if (told.listing.items.empty() && now >= next_fetch_) {
      const auto sender = members_.find(message.sender);
      if (sender != members_.end()) {
        next_fetch_ = now + fetch_interval;
        out.fetch_from = sender->second.address;
        out.fetch_after = replica_.at();
      }
    }
  }
  auto& known = readers_[message.sender];
  known.leaving = told.leaving;
  if (told.leaving) {
    known.leaving_at = now;
  }
  const bool is_fresh_enough =
      told.age < settings_.longest_age * read_age_percent / 100;
  if (told.reading && is_fresh_enough && now >= trusted_from_) {
    known.fresh_at = now;
  }
}

void replica_spread::answer(const endpoint& to, revision after, time_point now,
                            spread_output& out) const {
  auto listing = replica_.since(after);
  if (listing.complete) {
    // Too much for datagrams: the gap makes the asker fetch it.
    listing = {{}, false, replica_.at(), replica_.at()};
  }
  for (auto& part : parts_of(std::move(listing))) {
    out.datagrams.push_back({{to}, message_of(std::move(part), now)});
  }
}

void replica_spread::publish(const item_listing& shown, time_point now,
                             spread_output& out) {
  next_bulletin_ = now + bulletin_interval;
  auto to = neighbours();
  if (to.empty()) {
    return;
  }
  item_listing listing = shown;
  if (listing.complete) {
    listing = {{}, false, replica_.at(), replica_.at()};
  }
  for (auto& part : parts_of(std::move(listing))) {
    out.datagrams.push_back({to, message_of(std::move(part), now)});
  }
}

spread_message replica_spread::message_of(item_listing listing,
                                          time_point now) const {
  bulletin told;
  told.reading = store_answers_ && reads_;
  told.leaving = leaving_;
  told.age =
      std::chrono::duration_cast<milliseconds>(now - replica_.confirmed_at());
  const auto at = listing.at;
  told.listing = std::move(listing);
  return {settings_.self.name, settings_.run, at, std::move(told), 0};
}

void replica_spread::on_stall(time_point now) {
  trusted_from_ = now + stall_drain;
}

void replica_spread::tick(time_point now, spread_output& out) {
  choose_reading(now);
  if (reads_ && now >= next_bulletin_) {
    publish({{}, false, replica_.at(), replica_.at()}, now, out);
  }
  if (!is_fresh(now) && now >= next_inquiry_) {
    inquire(now, out);
  }
  ask_for_missing(now, out);
  ask_for_removed(now, out);
}

void replica_spread::choose_reading(time_point now) {
  if (leaving_ || now < settled_at_) {
    reads_ = false;
  } else if (rank() == 0) {
    reads_ = true;
  } else if (reads_) {
    reads_ = !is_covered(now);
  } else {
    reads_ = now - replica_.confirmed_at() >= takeover_age();
  }
}

void replica_spread::ask_for_missing(time_point now, spread_output& out) {
  const auto missing = replica_.missing();
  if (missing.empty()) {
    missing_since_.reset();
    return;
  }
  missing_since_ = missing_since_.value_or(now);
  if (now - *missing_since_ < missing_patience || now < next_fetch_ ||
      out.fetch_from) {
    return;
  }
  if (const auto member = random_member(random_() % 2 == 0)) {
    next_fetch_ = now + fetch_interval;
    out.fetch_from = member->address;
    out.fetch_after = revision(value_of(missing.front().second) - 1);
  }
}

// The store's list lacks upstreams that were removed but still have flows. A
// process that has just started learns of them from a member that knew them.
void replica_spread::ask_for_removed(time_point now, spread_output& out) {
  if (removed_questions_ == 0 || now < next_fetch_ || out.fetch_from) {
    return;
  }
  if (const auto member = random_member(removed_questions_ % 2 == 0)) {
    --removed_questions_;
    next_fetch_ = now + fetch_interval;
    out.fetch_from = member->address;
    out.fetch = fetch_kind::removed;
  }
}

void replica_spread::inquire(time_point now, spread_output& out) {
  next_inquiry_ = now + inquiry_interval;
  std::vector<endpoint> to;
  if (members_.size() <= 1) {
    to = settings_.seeds;
  }
  for (std::size_t i = 0; i < inquired_members; ++i) {
    if (const auto member = random_member(i % 2 == 0)) {
      to.push_back(member->address);
    }
  }
  if (!to.empty()) {
    out.datagrams.push_back(
        {std::move(to),
         {settings_.self.name, settings_.run, replica_.at(), inquiry{}, 0}});
  }
}

void replica_spread::configure(std::vector<endpoint> seeds,
                               milliseconds longest_age) {
  settings_.seeds = std::move(seeds);
  settings_.longest_age = longest_age;
}

void replica_spread::on_joined(time_point now) {
  if (!joined_) {
    joined_ = true;
    settled_at_ = now + join_time;
  }
}

follow_mode replica_spread::mode(time_point now) const {
  if (leaving_ || now < settled_at_) {
    return follow_mode::idle;
  }
  if (replica_.confirmed_at() < settled_at_ && !is_covered(now)) {
    return follow_mode::check;
  }
  return reads_ ? follow_mode::follow : follow_mode::idle;
}

spread_message replica_spread::everything_after(revision after,
                                                time_point now) const {
  return message_of(replica_.since(after), now);
}

spread_message replica_spread::everything_removed(time_point now) const {
  return message_of({replica_.removed(), false, {}, {}}, now);
}

void replica_spread::leave(time_point now, spread_output& out) {
  leaving_ = true;
  if (std::exchange(reads_, false)) {
    publish({{}, false, replica_.at(), replica_.at()}, now, out);
  }
}

bool replica_spread::precedes(const member_record& left,
                              const member_record& right) const {
  const auto weight = [](const member_record& member) {
    return XXH3_64bits(member.name.data(), member.name.size());
  };
  return left.capacity != right.capacity ? left.capacity > right.capacity
                                         : weight(left) > weight(right);
}

std::size_t replica_spread::rank() const {
  std::size_t rank = 0;
  for (const auto& [name, member] : members_) {
    const auto heard = readers_.find(name);
    const bool leaves = heard != readers_.end() && heard->second.leaving;
    if (name != settings_.self.name && !leaves &&
        member.data_centre == settings_.self.data_centre &&
        precedes(member, settings_.self)) {
      ++rank;
    }
  }
  return rank;
}

bool replica_spread::is_covered(time_point now) const {
  for (const auto& [name, heard] : readers_) {
    const auto member = members_.find(name);
    if (member != members_.end() && !heard.leaving &&
        heard.fresh_at + reader_timeout > now &&
        heard.fresh_at != time_point{} &&
        member->second.data_centre == settings_.self.data_centre &&
        precedes(member->second, settings_.self)) {
      return true;
    }
  }
  return false;
}

duration replica_spread::takeover_age() const {
  const auto place = static_cast<int>(std::min(rank(), last_takeover_rank));
  return settings_.longest_age *
         (read_age_percent + takeover_step_percent * place) / 100;
}

bool replica_spread::is_fresh(time_point now) const {
  return now - replica_.confirmed_at() < settings_.longest_age / 2;
}

std::vector<endpoint> replica_spread::neighbours() const {
  std::vector<endpoint> to;
  for (const auto& [name, member] : members_) {
    if (name != settings_.self.name &&
        member.data_centre == settings_.self.data_centre) {
      to.push_back(member.address);
    }
  }
  return to;
}

std::optional<member_record> replica_spread::random_member(bool near) {
  std::vector<const member_record*> wanted;
  std::vector<const member_record*> others;
  for (const auto& [name, member] : members_) {
    if (name != settings_.self.name) {
      const bool is_near = member.data_centre == settings_.self.data_centre;
      (is_near == near ? wanted : others).push_back(&member);
    }
  }
  const auto& from = wanted.empty() ? others : wanted;
  return from.empty() ? std::nullopt
                      : std::optional(*from[random_() % from.size()]);
}

}  // namespace rosemarydrum
