#include "rosemarydrum/spread/replica_spread.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "listing_parts.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds bulletin_interval{300};
/// Instances of a fleet that start together register within this time.
constexpr milliseconds join_window{600};
/// The reader's first bulletin arrives within this time after the join window.
constexpr milliseconds first_bulletin_time{500};
/// A process that starts first waits this long for the store.
constexpr milliseconds first_inquiry_delay{150};
/// After a stall, messages and answers confirm nothing for this time, in which
/// the queued ones are processed.
constexpr milliseconds stall_drain_time{100};
/// Longer answers to an inquiry are fetched over a connection, at the pace of
/// the requester.
constexpr std::size_t max_answer_datagrams = 4;
/// A link of 10 Mbit/s transfers a page of this size in about 50 ms.
constexpr std::size_t max_page_bytes = 64 << 10;

}  // namespace

replica_spread::replica_spread(spread_settings settings, item_replica& replica,
                               time_point now)
    : settings_(std::move(settings)),
      replica_(replica),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed)),
      choice_(settings_.self, members_),
      next_inquiry_(now + first_inquiry_delay),
      next_fetch_(now) {}

void replica_spread::on_store_answer(const item_listing& listing,
                                     time_point as_of, time_point now,
                                     spread_output& out) {
  store_answers_ = true;
  const auto before = replica_.at();
  apply(listing, listing.at, as_of, now, out);
  const bool was_restored =
      before != revision{} && replica_.at().era != before.era;
  if (was_restored) {
    // Others may know later versions of what the store has lost.
    history_.repeat();
  }
  if (is_reading_) {
    publish(was_restored ? replica_.changes_after(before) : listing, now, out);
  }
}

void replica_spread::on_store_failure(time_point /*now*/) {
  store_answers_ = false;
}

void replica_spread::apply(const item_listing& listing,
                           revision source_revision, time_point confirmed_at,
                           time_point now, spread_output& out) {
  const auto before = replica_.at();
  const bool has_gap =
      listing.complete && now - replica_.confirmed_at() > settings_.max_age;
  auto updated = replica_.apply(listing, now);
  if (replica_.at() != before &&
      (before == revision{} || (has_gap && replica_.at().era == before.era))) {
    history_.begin(replica_.at(), now);
  }
  const bool includes_source = replica_.at() >= source_revision &&
                               replica_.at().era == source_revision.era;
  if (includes_source && now >= stall_drained_at_) {
    replica_.confirm(confirmed_at);
  }
  report_updated(std::move(updated), now, out);
}

void replica_spread::report_updated(std::vector<kv_item> updated,
                                    time_point now, spread_output& out) {
  update_members(updated, now);
  out.updated_items.insert(out.updated_items.end(),
                           std::make_move_iterator(updated.begin()),
                           std::make_move_iterator(updated.end()));
}

void replica_spread::on_message(const endpoint& from,
                                const spread_message& message, time_point now,
                                spread_output& out) {
  if (message.sender == settings_.self.name) {
    return;
  }
  if (const auto* body = std::get_if<bulletin>(&message.body)) {
    on_bulletin(from, message, *body, now, out);
  } else if (std::holds_alternative<inquiry>(message.body) &&
             (replica_.at() > message.at || is_fresh(now))) {
    answer_inquiry(from, message.at, now, out);
  }
}

// Fetches from the address that sent the bulletin: members receive messages and
// connections at the same address, and a process that has just started may not
// have their records yet.
void replica_spread::on_bulletin(const endpoint& from,
                                 const spread_message& message,
                                 const bulletin& body, time_point now,
                                 spread_output& out) {
  const bool had_gap =
      !body.listing.complete && !replica_.reaches(body.listing);
  apply(body.listing, message.at, now - body.age, now, out);
  if (had_gap) {
    next_inquiry_ = std::min(next_inquiry_, now);
    if (body.listing.items.empty() && can_fetch(now, out)) {
      start_fetch({from, fetch_kind::newer, replica_.at()}, out);
    }
  }
  choice_.on_bulletin(message.sender, body, settings_.max_age,
                      now >= stall_drained_at_, now);
}

void replica_spread::answer_inquiry(const endpoint& to, revision after,
                                    time_point now, spread_output& out) const {
  auto listing = replica_.changes_after(after);
  auto parts = listing.complete ? std::vector{empty_listing()}
                                : detail::datagram_parts(std::move(listing));
  if (parts.size() > max_answer_datagrams) {
    // The gap in revisions makes the requester fetch the changes.
    parts = {empty_listing()};
  }
  for (auto& part : parts) {
    out.datagrams.push_back({{to}, bulletin_message(std::move(part), now)});
  }
}

void replica_spread::publish(const item_listing& listing, time_point now,
                             spread_output& out) {
  next_bulletin_ = now + bulletin_interval;
  auto to = data_centre_peers();
  if (to.empty()) {
    return;
  }
  for (auto& part :
       detail::datagram_parts(listing.complete ? empty_listing() : listing)) {
    out.datagrams.push_back({to, bulletin_message(std::move(part), now)});
  }
}

item_listing replica_spread::empty_listing() const {
  return {{}, false, replica_.at(), replica_.at()};
}

spread_message replica_spread::bulletin_message(item_listing listing,
                                                time_point now) const {
  bulletin body;
  body.reading = store_answers_ && is_reading_;
  body.leaving = leaving_;
  body.age =
      std::chrono::duration_cast<milliseconds>(now - replica_.confirmed_at());
  body.listing = std::move(listing);
  for (auto& item : body.listing.items) {
    if (item.removed) {
      item.removed_for = replica_.removal_age(item.key, now);
    }
  }
  return make_message(std::move(body));
}

spread_message replica_spread::make_message(
    decltype(spread_message::body) body) const {
  return {settings_.self.name, settings_.run, replica_.at(), std::move(body),
          0};
}

void replica_spread::on_stall(time_point now) {
  stall_drained_at_ = now + stall_drain_time;
}

void replica_spread::tick(time_point now, spread_output& out) {
  update_reading(now);
  if (is_reading_ && now >= next_bulletin_) {
    publish(empty_listing(), now, out);
  }
  if (!is_fresh(now) && now >= next_inquiry_) {
    send_inquiry(now, out);
  }
  fetch_missing(now, out);
  fetch_unlisted(now, out);
  report_updated(replica_.settle(now), now, out);
  forget_lapsed_members(now);
}

void replica_spread::update_reading(time_point now) {
  is_reading_ = !leaving_ && now >= join_window_end_ &&
                choice_.should_read(is_reading_, replica_.confirmed_at(),
                                    settings_.max_age, now);
}

void replica_spread::configure(std::vector<endpoint> seeds,
                               milliseconds max_age) {
  settings_.seeds = std::move(seeds);
  settings_.max_age = max_age;
}

void replica_spread::on_joined(time_point now) {
  if (!joined_) {
    joined_ = true;
    join_window_end_ = now + join_window;
  }
}

follow_mode replica_spread::mode(time_point now) const {
  if (leaving_ || now < join_window_end_) {
    return follow_mode::idle;
  }
  const bool may_check =
      is_reading_ || now >= join_window_end_ + first_bulletin_time;
  if (may_check && replica_.confirmed_at() < join_window_end_ &&
      !choice_.has_outranking_reader(now)) {
    return follow_mode::check;
  }
  return is_reading_ ? follow_mode::follow : follow_mode::idle;
}

spread_message replica_spread::changes_after(revision after,
                                             time_point now) const {
  return bulletin_message(
      detail::first_page(replica_.changes_after(after), max_page_bytes), now);
}

spread_message replica_spread::unlisted_items(time_point now) const {
  return bulletin_message({replica_.unlisted(), false, {}, {}}, now);
}

void replica_spread::leave(time_point now, spread_output& out) {
  leaving_ = true;
  if (std::exchange(is_reading_, false)) {
    publish(empty_listing(), now, out);
  }
}

bool replica_spread::is_fresh(time_point now) const {
  return now - replica_.confirmed_at() < settings_.max_age / 2;
}

}  // namespace rosemarydrum
