#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/spread/history_search.h"
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
  /// Members to ask while no other member is known.
  std::vector<endpoint> seeds;
  /// The replica is confirmed well before its last confirmation reaches this
  /// age.
  milliseconds max_age{3000};
  std::uint64_t seed = 1;
  /// Maximum lifetime of a flow.
  duration flow_lifetime = default_flow_lifetime;
};

/// Keeps an item_replica up to date with few calls to the store. In each data
/// centre one member, the reader, follows the store and sends the changes to
/// the others. Each member derives the reader from the members' records,
/// without an election. A member without a timely bulletin asks other members
/// and then reads the store itself, so that two members may read at the same
/// time, but never none.
class replica_spread {
 public:
  replica_spread(spread_settings settings, item_replica& replica,
                 time_point now);
  replica_spread(const replica_spread&) = delete;
  replica_spread& operator=(const replica_spread&) = delete;

  /// Handles an answer of the store that includes all changes up to the time
  /// `as_of`.
  void on_store_answer(const item_listing& listing, time_point as_of,
                       time_point now, spread_output& out);
  void on_store_failure(time_point now);
  void on_message(const endpoint& from, const spread_message& message,
                  time_point now, spread_output& out);
  /// Handles the end of a fetch; nullopt if it has failed.
  void on_fetched(const std::optional<spread_message>& answer, time_point now,
                  spread_output& out);
  /// Handles a stall of the process: messages that were queued during it are
  /// outdated and confirm nothing.
  void on_stall(time_point now);
  void tick(time_point now, spread_output& out);
  void configure(std::vector<endpoint> seeds, milliseconds max_age);
  /// Starts a planned stop: another member becomes the reader.
  void leave(time_point now, spread_output& out);

  /// Handles the first write of this member's record. Other members may be
  /// registering as well, so that reading starts only after a delay. Repeated
  /// calls have no effect.
  void on_joined(time_point now);
  /// Returns how this process should use the store now.
  follow_mode mode(time_point now) const;
  /// Returns the changes after `after` with all values, limited to a first page
  /// if they are many.
  spread_message changes_after(revision after, time_point now) const;
  /// Returns `item_replica::unlisted()`.
  spread_message unlisted_items(time_point now) const;
  /// Whether a process that starts should not place flows yet, because other
  /// members may tell it soon what the store does not list.
  bool awaits_history(time_point now) const { return history_.is_awaited(now); }
  /// For how long this process knows all removals.
  milliseconds history_covered(time_point now) const {
    return std::chrono::duration_cast<milliseconds>(history_.covered(now));
  }
  /// Whether the store or a member that reads it has confirmed the replica
  /// within half of the maximum age.
  bool is_fresh(time_point now) const;
  /// Number of members of this data centre that outrank this one as a reader.
  std::size_t rank() const { return choice_.rank(); }
  const member_record& self() const { return settings_.self; }
  /// Returns the members that have a record, or had one until lately.
  const member_map& members() const { return members_; }
  /// Increases with each change of the members.
  std::uint64_t members_version() const { return members_version_; }
  /// Returns a message with this member as the sender.
  spread_message make_message(decltype(spread_message::body) body) const;
  /// Returns the other members of this data centre.
  std::vector<endpoint> data_centre_peers() const;
  /// Returns the members that may get this process's flows: those of this data
  /// centre, and some of others, which serve it if none of it is left.
  std::vector<endpoint> flow_peers();
  /// Returns the member that reads the store for this one; nullopt if none is
  /// known.
  std::optional<endpoint> reader(time_point now) const;
  /// Returns another member, preferably of this data centre if `local` and of
  /// another one otherwise; nullopt if none is known.
  std::optional<member_record> random_member(bool local);

 private:
  /// Applies a listing to the replica and the members. `source_revision` is the
  /// revision of the source, up to which the listing may be incomplete.
  void apply(const item_listing& listing, revision source_revision,
             time_point confirmed_at, time_point now, spread_output& out);
  void report_updated(std::vector<kv_item> updated, time_point now,
                      spread_output& out);
  void update_members(const std::vector<kv_item>& updated, time_point now);
  void forget_lapsed_members(time_point now);
  void on_bulletin(const endpoint& from, const spread_message& message,
                   const bulletin& body, time_point now, spread_output& out);
  void answer_inquiry(const endpoint& to, revision after, time_point now,
                      spread_output& out) const;
  void publish(const item_listing& listing, time_point now, spread_output& out);
  void send_inquiry(time_point now, spread_output& out);
  void fetch_unlisted(time_point now, spread_output& out);
  /// Returns a member that has not been asked for unlisted items lately.
  std::optional<endpoint> next_to_ask();
  void on_unlisted(const fetch_request& request, const spread_message* answer,
                   time_point now, spread_output& out);
  void fetch_missing(time_point now, spread_output& out);
  /// Whether changes may be fetched now.
  bool can_fetch(time_point now, const spread_output& out) const;
  bool is_fetching(const spread_output& out) const;
  void start_fetch(const fetch_request& request, spread_output& out);
  /// Returns a listing without items at the revision of the replica.
  item_listing empty_listing() const;
  spread_message bulletin_message(item_listing listing, time_point now) const;
  void update_reading(time_point now);

  spread_settings settings_;
  item_replica& replica_;
  std::minstd_rand random_;
  member_map members_;
  /// When the records of members were removed that still count as such.
  std::map<std::string, time_point> lapsed_members_;
  std::uint64_t members_version_ = 0;
  reader_choice choice_;
  /// This member does not read the store before this time, so that members
  /// that started together with it can register first.
  time_point join_window_end_;
  bool joined_ = false;
  bool is_reading_ = false;
  bool store_answers_ = false;
  bool leaving_ = false;
  time_point next_bulletin_;
  time_point next_inquiry_;
  time_point next_fetch_;
  /// Only one fetch runs at a time.
  std::optional<fetch_request> pending_fetch_;
  history_search history_;
  std::optional<time_point> missing_since_;
  /// Messages and answers received earlier confirm nothing, because they may
  /// have been queued during a stall.
  time_point stall_drained_at_;
};

}  // namespace rosemarydrum
