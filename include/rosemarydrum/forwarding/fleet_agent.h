#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/forwarding/fleet_schema.h"
#include "rosemarydrum/forwarding/fleet_update.h"
#include "rosemarydrum/spread/failure_exchange.h"
#include "rosemarydrum/spread/flow_record_exchange.h"
#include "rosemarydrum/spread/member_registration.h"
#include "rosemarydrum/spread/outage_records.h"
#include "rosemarydrum/spread/replica_spread.h"
#include "rosemarydrum/spread/report_queue.h"
#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/store/store_follower.h"
#include "rosemarydrum/store/value_reader.h"

namespace rosemarydrum {

/// The effect of a listing of all items.
struct listing_effect {
  revision at{};
  std::size_t items = 0;
  /// Items that were new to this process.
  std::size_t updated = 0;
  /// Items that differ from later ones that this process knows.
  std::uint64_t outdated = 0;
};

/// Carries out the I/O of a fleet_agent and receives what it learns.
class fleet_agent_host {
 public:
  fleet_agent_host() = default;
  fleet_agent_host(const fleet_agent_host&) = delete;
  fleet_agent_host& operator=(const fleet_agent_host&) = delete;
  virtual ~fleet_agent_host() = default;

  /// Sends a message to several members. Delivery is not guaranteed.
  virtual void send(const spread_datagram& datagram) = 0;
  /// Fetches `changes_after()` or `unlisted_items()` from a member over a
  /// connection. Must call `on_fetched` exactly once for each request.
  virtual void fetch(const fetch_request& request) = 0;
  /// Delivers an update to the forwarder.
  virtual void update(fleet_update update) = 0;

  virtual void on_change(const fleet_change& /*change*/, time_point /*now*/) {}
  /// The configuration of this revision cannot be decoded.
  virtual void on_rejected(revision /*changed*/, time_point /*now*/) {}
  /// All items of the store were read.
  virtual void on_listed(const listing_effect& /*effect*/, time_point /*now*/) {
  }
  /// A version stays in force although the restored store shows another one.
  virtual void on_kept(const kept_item& /*kept*/, time_point /*now*/) {}
  /// A configuration is not newer than the one in effect.
  virtual void on_ignored(const fleet_change& /*change*/, time_point /*now*/) {}
  virtual void on_member(const kv_item& /*item*/, time_point /*now*/) {}
  virtual void on_registered(bool /*written*/, time_point /*now*/) {}
  /// A call to the store has succeeded (`error_kind::none`) or failed.
  virtual void on_store(error_kind /*error*/, time_point /*now*/) {}
};

/// Keeps a replica of the store's items up to date, from the store or from
/// another member, and forwards changes to the forwarder and to other members.
/// All I/O goes through the store and the host.
class fleet_agent {
 public:
  fleet_agent(kv_store& store, const fleet_schema& schema,
              const spread_settings& settings, fleet_agent_host& host,
              time_point now);

  /// Must be called about every 50 ms.
  void tick(time_point now);
  void on_message(const endpoint& from, const spread_message& message,
                  time_point now);
  /// Completes a fetch; `answer` is nullopt if the fetch failed.
  void on_fetched(const std::optional<spread_message>& answer, time_point now);
  /// Adds failed flows that this process had placed.
  void on_failures(const std::vector<upstream_failures>& failures);
  /// Tells the other members of the data centre what callers of this process
  /// have seen of upstreams.
  void on_sightings(const std::vector<upstream_sighting>& sightings,
                    time_point now);
  /// Tells other members which upstreams hold flows of this process.
  void on_flow_records(const std::vector<flow_record>& records, time_point now);
  /// The process did not run for a while, so queued messages are outdated.
  void on_stall(time_point now);
  /// Announces a planned stop, so that other members take over.
  void leave(time_point now);
  void configure(std::vector<endpoint> seeds, milliseconds max_age);

  /// Replies to fetches of other members.
  spread_message changes_after(revision after, time_point now) const;
  spread_message unlisted_items(time_point now) const;

  /// Version of the operators' configuration in effect; 0 before the first.
  std::uint64_t configuration_version() const { return configuration_; }
  bool is_fresh(time_point now) const { return spread_.is_fresh(now); }
  bool is_reading() const { return reading_; }
  const item_replica& replica() const { return replica_; }
  const replica_spread& spread() const { return spread_; }

 private:
  void on_listing(const item_listing& items, time_point asked);
  void carry_out(spread_output& out);
  void report_kept(time_point now);
  /// Whether a change does not put an older configuration in effect.
  bool is_current(const fleet_change& change, time_point now);
  void confirm_configuration();
  void send_failures(time_point now);
  void send_sightings(time_point now);
  void send_flow_records(time_point now);
  void on_flow_report(const flow_record_report& report, time_point now);
  /// Returns an update that holds only the replica's revision and its age.
  fleet_update update_without_changes() const;
  /// Takes the items. Sends nothing while others may tell soon what the store
  /// does not list.
  void send_update(std::vector<kv_item>& new_items, time_point now);
  /// Decodes an item; nullopt if it is no change for the forwarder.
  std::optional<fleet_change> decode(const kv_item& item, time_point now);
  /// Adds to a removal when it takes effect or has taken effect.
  void add_removal_times(fleet_change& change, const std::string& key,
                         time_point now) const;
  /// What a record says of its data centre to a process that has started after
  /// the return; nullopt if the return is known.
  std::optional<fleet_change> decode_outage(const kv_item& item) const;
  void update_registration(time_point now);
  void update_outages(time_point now);

  const fleet_schema& schema_;
  fleet_agent_host& host_;
  item_replica replica_;
  replica_spread spread_;
  failure_exchange failures_;
  report_queue<upstream_sighting> sightings_;
  flow_record_exchange flows_;
  store_follower follower_;
  value_reader values_;
  member_registration registration_;
  outage_records outages_;
  /// Upstreams are warm after this time, in all services.
  duration longest_warmup_{0};
  struct recent_sighting {
    upstream_sighting seen;
    /// `seen.age` counts from here backwards.
    time_point received;
  };
  void keep_unanswered(const upstream_sighting& seen, time_point now);
  std::vector<upstream_sighting> unanswered(time_point now) const;

  /// Unanswered handshakes of any member, for processes that start.
  std::deque<recent_sighting> unanswered_;
  /// Those that this process was told when it started, for the forwarder.
  std::vector<recent_sighting> unsent_sightings_;
  /// Updated items that the forwarder has not received yet.
  std::vector<kv_item> unsent_items_;
  time_point next_sweep_;
  time_point next_update_;
  std::uint64_t sent_members_version_ = 0;
  std::uint64_t configuration_ = 0;
  /// The latest configuration cannot be decoded.
  bool is_configuration_rejected_ = false;
  time_point configuration_confirmed_at_;
  bool was_fresh_ = false;
  bool has_been_fresh_ = false;
  bool was_registered_ = false;
  bool reading_ = false;
  /// Entries removed before this time may have expired only because the store
  /// was unavailable and upstreams could not renew them.
  time_point lapse_grace_until_;
};

}  // namespace rosemarydrum
