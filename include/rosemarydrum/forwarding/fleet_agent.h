#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/forwarding/fleet_schema.h"
#include "rosemarydrum/forwarding/fleet_update.h"
#include "rosemarydrum/spread/failure_exchange.h"
#include "rosemarydrum/spread/member_registration.h"
#include "rosemarydrum/spread/replica_spread.h"
#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/store/store_follower.h"
#include "rosemarydrum/store/value_reader.h"

namespace rosemarydrum {

/// What a fleet_agent asks its host to do, and what it tells of its beliefs.
class fleet_agent_host {
 public:
  fleet_agent_host() = default;
  fleet_agent_host(const fleet_agent_host&) = delete;
  fleet_agent_host& operator=(const fleet_agent_host&) = delete;
  virtual ~fleet_agent_host() = default;

  /// Sends a message to several members; it may be lost.
  virtual void send(const spread_datagram& datagram) = 0;
  /// Gets `changes_after()` or `everything_removed()` from a member over a
  /// connection. Each call leads to one of `on_fetched`.
  virtual void fetch(const fetch_request& request) = 0;
  /// Passes on what the forwarder must know.
  virtual void update(fleet_update news) = 0;

  virtual void on_change(const fleet_change& /*change*/, time_point /*now*/) {}
  /// The configuration of this revision cannot be read.
  virtual void on_rejected(revision /*changed*/, time_point /*now*/) {}
  virtual void on_member(const kv_item& /*item*/, time_point /*now*/) {}
  virtual void on_registered(bool /*written*/, time_point /*now*/) {}
  /// The store has answered (none) or failed.
  virtual void on_store(error_kind /*error*/, time_point /*now*/) {}
};

/// Knows what the store holds: follows the store or another member and tells
/// the others. Has no I/O but through the store and its host.
class fleet_agent {
 public:
  fleet_agent(kv_store& store, const fleet_schema& schema,
              const spread_settings& settings, fleet_agent_host& host,
              time_point now);

  /// Call about every 50 ms.
  void tick(time_point now);
  void on_message(const endpoint& from, const spread_message& message,
                  time_point now);
  /// A fetch has ended; nullopt if it has failed.
  void on_fetched(const std::optional<spread_message>& answer, time_point now);
  /// Flows that were placed by this process and have failed.
  void on_failures(const std::vector<upstream_failures>& seen);
  /// The process has not run for a while; messages that waited are old.
  void on_stall(time_point now);
  /// A planned stop: other members take over.
  void leave(time_point now);
  void configure(std::vector<endpoint> seeds, milliseconds longest_age);

  /// For a member that asks for it over a connection.
  spread_message changes_after(revision after, time_point now) const;
  spread_message everything_removed(time_point now) const;

  /// The operators' version in force; 0 before there is one.
  std::uint64_t configuration() const { return configuration_; }
  bool is_fresh(time_point now) const { return spread_.is_fresh(now); }
  bool is_reading() const { return reading_; }
  const item_replica& replica() const { return replica_; }
  const replica_spread& spread() const { return spread_; }

 private:
  void on_listing(const item_listing& shown, time_point asked);
  void carry_out(spread_output& out);
  void tell_failures(time_point now);
  /// An update that says only how old is what is known.
  fleet_update empty_update() const;
  void pass_on(const std::vector<kv_item>& fresh, time_point now);
  /// The change that the item stands for; nullopt if it is none.
  std::optional<fleet_change> decode(const kv_item& item, time_point now);
  void note_registration(time_point now);

  const fleet_schema& schema_;
  fleet_agent_host& host_;
  item_replica replica_;
  replica_spread spread_;
  failure_exchange failures_;
  store_follower follower_;
  value_reader values_;
  member_registration registration_;
  time_point next_sweep_;
  time_point next_pass_;
  std::uint64_t members_told_ = 0;
  std::uint64_t configuration_ = 0;
  bool was_fresh_ = false;
  bool has_been_fresh_ = false;
  bool was_registered_ = false;
  bool reading_ = false;
  /// Until then, removed entries may have lapsed while the store was away.
  time_point lapses_until_;
};

}  // namespace rosemarydrum
