#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "rosemarydrum/spread/member_record.h"
#include "rosemarydrum/spread/reader_choice.h"
#include "rosemarydrum/spread/spread_message.h"
#include "rosemarydrum/spread/spread_output.h"
#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/store/store_follower.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

struct spread_settings {
  member_record self;
  incarnation run{};
  /// Asked before any member is known.
  std::vector<endpoint> seeds;
  /// Knowledge is renewed well before it reaches this age.
  milliseconds longest_age{3000};
  std::uint64_t seed = 1;
};

/// Keeps an item_replica up to date with few calls to the store. In each data
/// centre one member follows the store and tells the others; which one follows
/// from the members' records, without election. A member that does not hear
/// anything in time asks other members and then reads the store itself, so
/// that two members may read at a time, but never none.
class replica_spread {
 public:
  replica_spread(spread_settings settings, item_replica& replica,
                 time_point now);
  replica_spread(const replica_spread&) = delete;
  replica_spread& operator=(const replica_spread&) = delete;

  /// The store's answer to a call that was made at `asked`.
  void on_store(const item_listing& shown, time_point asked, time_point now,
                spread_output& out);
  void on_store_failure(time_point now);
  void on_message(const endpoint& from, const spread_message& message,
                  time_point now, spread_output& out);
  /// A fetch has ended; nullopt if it has failed.
  void on_fetched(const std::optional<spread_message>& answer, time_point now,
                  spread_output& out);
  /// The process has not run for a while; messages that waited are old.
  void on_stall(time_point now);
  void tick(time_point now, spread_output& out);
  void configure(std::vector<endpoint> seeds, milliseconds longest_age);
  /// A planned stop: another member reads from now on.
  void leave(time_point now, spread_output& out);

  /// The own record is new in the store: others may be new as well, so that
  /// the reader is chosen a little later. Repeated calls have no effect.
  void on_joined(time_point now);
  /// How this process should use the store now.
  follow_mode mode(time_point now) const;
  /// What changed after `after`, with all values; the first of it if it is
  /// much.
  spread_message changes_after(revision after, time_point now) const;
  /// What was removed lately, with its last values.
  spread_message everything_removed(time_point now) const;
  /// Whether the store or a member that reads it has confirmed the replica
  /// lately.
  bool is_fresh(time_point now) const;
  /// Members of the own data centre that read the store before this one.
  std::size_t rank() const { return choice_.rank(); }
  const member_map& members() const { return members_; }
  /// Changes whenever a member comes or goes.
  std::uint64_t members_version() const { return members_version_; }
  /// A message of this member.
  spread_message message_with(decltype(spread_message::body) body) const;
  /// The members of the own data centre but for this one.
  std::vector<endpoint> neighbours() const;
  /// The member that reads the store for this one; nullopt if none is known.
  std::optional<endpoint> reader(time_point now) const;
  /// Another member, in the own data centre or in others; nullopt if none is
  /// known.
  std::optional<member_record> random_member(bool near);

 private:
  /// `known` is the newest revision that the source knew, whether or not it
  /// has shown everything up to it.
  void take_in(const item_listing& shown, revision known, time_point confirmed,
               time_point now, spread_output& out);
  void update_members(const std::vector<kv_item>& fresh);
  void on_bulletin(const endpoint& from, const spread_message& message,
                   const bulletin& told, time_point now, spread_output& out);
  void answer(const endpoint& to, revision after, time_point now,
              spread_output& out) const;
  void publish(const item_listing& shown, time_point now, spread_output& out);
  void inquire(time_point now, spread_output& out);
  void ask_for_removed(time_point now, spread_output& out);
  void ask_for_missing(time_point now, spread_output& out);
  bool may_fetch(time_point now, const spread_output& out) const;
  void fetch(const fetch_request& request, spread_output& out);
  /// Says up to where all is known, and shows nothing of it.
  item_listing no_items() const;
  spread_message message_of(item_listing listing, time_point now) const;
  void choose_reading(time_point now);

  spread_settings settings_;
  item_replica& replica_;
  std::minstd_rand random_;
  member_map members_;
  std::uint64_t members_version_ = 0;
  reader_choice choice_;
  /// When the members that started with this one have joined too.
  time_point settled_at_;
  bool joined_ = false;
  bool reads_ = false;
  bool store_answers_ = false;
  bool leaving_ = false;
  time_point next_bulletin_;
  time_point next_inquiry_;
  time_point next_fetch_;
  /// What is being fetched: one thing at a time.
  std::optional<fetch_request> fetching_;
  /// Questions left for what was removed before this process started: of a
  /// near member and a far one, because one that has just started knows
  /// nothing either.
  int removed_questions_ = 2;
  /// Since when a value is missing.
  std::optional<time_point> missing_since_;
  time_point trusted_from_;
};

}  // namespace rosemarydrum
