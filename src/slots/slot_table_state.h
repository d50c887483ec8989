#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "membership/shard_authority.h"
#include "rosemarydrum/membership/membership.h"
#include "rosemarydrum/slots/slot_table.h"
#include "slots/ask_history.h"
#include "slots/grant_ledger.h"
#include "slots/service_slots.h"

namespace rosemarydrum {

namespace detail {

using rosemarydrum::max_run_time;
/// An ask that has not been repeated for this long is not granted, because its
/// owner would discard the grant (request_owner_settings::grant_validity).
inline constexpr milliseconds ask_validity{200};
/// Time after which all peers know a new upstream. Before that, a peer that
/// lists no limit for the upstream may not know it, so it is not taken for
/// warm.
inline constexpr seconds max_configuration_delay{3};
inline constexpr seconds prune_interval{1};
inline constexpr std::size_t max_gossiped_limits = 64;

}  // namespace detail

struct slot_table::state {
  explicit state(slot_table_settings initial);

  detail::shard_authority& authority_of(service_id service);
  detail::grant_rules rules_of(service_id service, time_point now);
  bool is_own(const detail::ask_key& asked) const {
    return asked.from.id == settings.self.id;
  }

  /// Grants, refuses or queues an ask that has no record.
  void handle_new_ask(const detail::ask_key& key, const slot_ask& ask,
                      time_point now, actions& out);
  /// Sends the answer of a recorded ask again, or refreshes it if it is
  /// waiting.
  void handle_repeated_ask(const detail::ask_key& key,
                           detail::ask_record& record, const slot_ask& ask,
                           time_point now, actions& out);
  /// Queues an ask. If the queue is full, refuses the last one in queue order.
  void enqueue(detail::service_slots& service, const detail::ask_key& key,
               const slot_ask& ask, time_point deadline, time_point now,
               actions& out);
  void grant(detail::upstream_slots& upstream,
             const detail::waiting_ask& waiting, time_point now, actions& out);
  /// Records and sends a refusal.
  void refuse(const detail::ask_key& key, error_kind error, time_point now,
              actions& out);
  /// Sends a refusal without recording it. With `may_wait`, an ask that does
  /// not allow spilling to another data centre would wait.
  void send_refusal(const detail::ask_key& key, error_kind error, bool may_wait,
                    actions& out);
  void send_grant(const detail::granted_slot& slot, time_point last_asked,
                  actions& out);

  /// Grants free slots to waiting asks.
  void grant_waiting(service_id id, detail::service_slots& service,
                     time_point now, actions& out);
  /// Refuses or grants the waiting asks of a shard.
  void process_waiting(shard_id shard, time_point now, actions& out);
  /// Returns whether an upstream shed the request probably because other
  /// balancers use its slots too: this balancer's in-flight count does not
  /// include all requests, and the upstream has not restarted.
  bool is_contention_shed(const detail::upstream_slots& upstream,
                          const slot_release& release, time_point now);
  /// Refuses waiting asks that no upstream can serve any more.
  void refuse_unservable(detail::service_slots& service, time_point now,
                         actions& out);
  /// Refuses waiting asks whose deadline has passed and removes those that have
  /// not been repeated within `ask_validity`.
  void expire_waiting(detail::service_slots& service, time_point now,
                      actions& out);
  /// Removes the waiting asks of a shard. Their owners ask its next decider.
  void forget_waiting(shard_id shard);

  /// Adds a grant of another decider. `owner` is unset if it is not known.
  void add_running(const running_grant& running, balancer_run owner,
                   time_point now);
  /// Frees the slot of a grant that was removed from the ledger.
  void free_slot(const detail::granted_slot& slot, time_point now);

  slot_table_settings settings;
  std::vector<balancer_id> members;
  std::array<detail::shard_authority, shard_count> shards{};
  std::map<service_id, detail::service_slots> services;
  detail::grant_ledger ledger;
  detail::ask_history history;
  /// The `now` of the latest call, for calls without it.
  time_point last_now;
  time_point next_prune;
  std::uint64_t next_grant;
};

}  // namespace rosemarydrum
