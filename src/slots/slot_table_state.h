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

/// Longest time that a request may run.
using rosemarydrum::max_run_time;
/// An ask that has not been repeated for this long is not granted: its owner
/// would find the grant void (request_owner_settings::grant_validity).
inline constexpr milliseconds ask_validity{200};
/// An upstream that is younger may be missing in a peer's configuration, so
/// that the peer's silence does not mean that it is warm.
inline constexpr seconds configuration_spread{3};
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

  /// Grants, refuses or queues an ask that is not known yet.
  void decide(const detail::ask_key& key, const slot_ask& ask, time_point now,
              actions& out);
  /// Repeats the answer of a known ask.
  void repeat(const detail::ask_key& key, detail::ask_record& record,
              const slot_ask& ask, time_point now, actions& out);
  void enqueue(detail::service_slots& service, const detail::ask_key& key,
               const slot_ask& ask, time_point deadline, time_point now,
               actions& out);
  void grant(detail::upstream_slots& upstream,
             const detail::waiting_ask& waiting, time_point now, actions& out);
  void refuse(const detail::ask_key& key, error_kind error, time_point now,
              actions& out);
  void send_refusal(const detail::ask_key& key, error_kind error, bool may_wait,
                    actions& out);
  void send_grant(const detail::granted_slot& slot, time_point last_asked,
                  actions& out);

  /// Grants free slots to waiting asks.
  void serve(service_id id, detail::service_slots& service, time_point now,
             actions& out);
  void serve_shard(shard_id shard, time_point now, actions& out);
  /// Whether a shed shows only that others use the upstream's slots too: the
  /// counts here are not exact, and the upstream has not restarted.
  bool is_crowded(const detail::upstream_slots& upstream,
                  const slot_release& release, time_point now);
  /// Refuses waiting asks that have become impossible.
  void refuse_impossible(detail::service_slots& service, time_point now,
                         actions& out);
  /// Refuses waiting asks that are too late and forgets those that their
  /// askers have given up.
  void expire_waiting(detail::service_slots& service, time_point now,
                      actions& out);
  /// Forgets the waiting asks of a shard; their owners ask its next decider.
  void forget_waiting(shard_id shard);

  /// Counts a grant that another decider has given.
  void add_running(const running_grant& running, balancer_run owner,
                   time_point now);
  /// The slot of a grant that has ended is free.
  void free_slot(const detail::granted_slot& slot, time_point now);

  slot_table_settings settings;
  std::vector<balancer_id> members;
  std::array<detail::shard_authority, shard_count> shards{};
  std::map<service_id, detail::service_slots> services;
  detail::grant_ledger ledger;
  detail::ask_history history;
  /// Time of the last call that stated it.
  time_point latest;
  time_point next_prune;
  std::uint64_t next_grant;
};

}  // namespace rosemarydrum
