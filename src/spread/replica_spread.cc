#include "rosemarydrum/spread/replica_spread.h"

#include <algorithm>
#include <utility>

#include "listing_parts.h"
#include "rosemarydrum/spread/member_codec.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds bulletin_interval{300};
/// All instances of a fleet start within this time of each other.
constexpr milliseconds join_time{600};
/// Messages that waited while the process did not run are read by then.
constexpr milliseconds stall_drain{100};
/// More than this is fetched over a connection, as the asker needs it.
constexpr std::size_t longest_answer_datagrams = 4;
/// Passes a link of 10 Mbit/s in 50 ms.
constexpr std::size_t longest_page = 64 << 10;

}  // namespace

replica_spread::replica_spread(spread_settings settings, item_replica& replica,
                               time_point now)
    : settings_(std::move(settings)),
      replica_(replica),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed)),
      choice_(settings_.self, members_),
      next_fetch_(now) {}

void replica_spread::on_store(const item_listing& shown, time_point asked,
                              time_point now, spread_output& out) {
  store_answers_ = true;
  take_in(shown, shown.at, asked, now, out);
  if (reads_) {
    publish(shown, now, out);
  }
}

void replica_spread::on_store_failure(time_point /*now*/) {
  store_answers_ = false;
}

void replica_spread::take_in(const item_listing& shown, revision known,
                             time_point confirmed, time_point now,
                             spread_output& out) {
  auto fresh = replica_.apply(shown, now);
  if (replica_.at() >= known && now >= trusted_from_) {
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
    on_bulletin(from, message, *told, now, out);
  } else if (std::holds_alternative<inquiry>(message.body) &&
             (replica_.at() > message.at || is_fresh(now))) {
    answer(from, message.at, now, out);
  }
}

// Members take messages and connections at the same address. A process that has
// just started may know none of them by name.
void replica_spread::on_bulletin(const endpoint& from,
                                 const spread_message& message,
                                 const bulletin& told, time_point now,
                                 spread_output& out) {
  const bool had_gap = told.listing.after > replica_.at();
  take_in(told.listing, message.at, now - told.age, now, out);
  if (had_gap && !told.listing.complete) {
    next_inquiry_ = std::min(next_inquiry_, now);
    if (told.listing.items.empty() && may_fetch(now, out)) {
      fetch({from, fetch_kind::newer, replica_.at()}, out);
    }
  }
  choice_.on_bulletin(message.sender, told, settings_.longest_age,
                      now >= trusted_from_, now);
}

void replica_spread::answer(const endpoint& to, revision after, time_point now,
                            spread_output& out) const {
  auto listing = replica_.since(after);
  auto parts = listing.complete ? std::vector{no_items()}
                                : detail::datagram_parts(std::move(listing));
  if (parts.size() > longest_answer_datagrams) {
    // The gap makes the asker fetch what it lacks.
    parts = {no_items()};
  }
  for (auto& part : parts) {
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
  for (auto& part :
       detail::datagram_parts(shown.complete ? no_items() : shown)) {
    out.datagrams.push_back({to, message_of(std::move(part), now)});
  }
}

item_listing replica_spread::no_items() const {
  return {{}, false, replica_.at(), replica_.at()};
}

spread_message replica_spread::message_of(item_listing listing,
                                          time_point now) const {
  bulletin told;
  told.reading = store_answers_ && reads_;
  told.leaving = leaving_;
  told.age =
      std::chrono::duration_cast<milliseconds>(now - replica_.confirmed_at());
  told.listing = std::move(listing);
  return message_with(std::move(told));
}

spread_message replica_spread::message_with(
    decltype(spread_message::body) body) const {
  return {settings_.self.name, settings_.run, replica_.at(), std::move(body),
          0};
}

void replica_spread::on_stall(time_point now) {
  trusted_from_ = now + stall_drain;
}

void replica_spread::tick(time_point now, spread_output& out) {
  choose_reading(now);
  if (reads_ && now >= next_bulletin_) {
    publish(no_items(), now, out);
  }
  if (!is_fresh(now) && now >= next_inquiry_) {
    inquire(now, out);
  }
  ask_for_missing(now, out);
  ask_for_removed(now, out);
}

void replica_spread::choose_reading(time_point now) {
  reads_ = !leaving_ && now >= settled_at_ &&
           choice_.reads(reads_, replica_.confirmed_at(), settings_.longest_age,
                         now);
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
  if (replica_.confirmed_at() < settled_at_ && !choice_.is_covered(now)) {
    return follow_mode::check;
  }
  return reads_ ? follow_mode::follow : follow_mode::idle;
}

spread_message replica_spread::changes_after(revision after,
                                             time_point now) const {
  return message_of(detail::first_page(replica_.since(after), longest_page),
                    now);
}

spread_message replica_spread::everything_removed(time_point now) const {
  return message_of({replica_.removed(), false, {}, {}}, now);
}

void replica_spread::leave(time_point now, spread_output& out) {
  leaving_ = true;
  if (std::exchange(reads_, false)) {
    publish(no_items(), now, out);
  }
}

bool replica_spread::is_fresh(time_point now) const {
  return now - replica_.confirmed_at() < settings_.longest_age / 2;
}

std::optional<endpoint> replica_spread::reader(time_point now) const {
  const auto* member = choice_.reader(now);
  return member == nullptr ? std::nullopt : std::optional(member->address);
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

}  // namespace rosemarydrum
