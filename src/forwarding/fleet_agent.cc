#include "rosemarydrum/forwarding/fleet_agent.h"

#include <iterator>
#include <utility>

#include "rosemarydrum/runtime_clock.h"
#include "rosemarydrum/spread/member_codec.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds sweep_interval{1000};
/// Updates are sent at least this often, because they carry the replica's age.
constexpr milliseconds update_interval{500};
/// Removed items are kept for longer than the lifetime of a flow.
constexpr seconds removal_retention{120};
/// Live upstreams write their entries again within this time after the store
/// has returned.
constexpr milliseconds lapse_grace{2200};
/// Wait time of a watch, in percent of the longest allowed age.
constexpr int watch_wait_percent = 25;

}  // namespace

fleet_agent::fleet_agent(kv_store& store, const fleet_schema& schema,
                         const spread_settings& settings,
                         fleet_agent_host& host, time_point now)
    : schema_(schema),
      host_(host),
      replica_(removal_retention,
               [&schema](const kv_item& left, const kv_item& right) {
                 return schema.compare(left, right);
               }),
      spread_(settings, replica_, now),
      failures_(settings.run),
      flows_(settings.flow_lifetime),
      follower_(store, replica_,
                {.watch_wait = settings.max_age * watch_wait_percent / 100},
                {[this](const item_listing& items, time_point asked) {
                   on_listing(items, asked);
                 },
                 [this](error_kind error) {
                   const auto failed_at = runtime_clock::now();
                   host_.on_store(error, failed_at);
                   spread_.on_store_failure(failed_at);
                 }}),
      values_(store, replica_,
              [this](const item_listing& items) {
                on_listing(items, replica_.confirmed_at());
              }),
      registration_(store, replica_, settings.self) {}

void fleet_agent::tick(time_point now) {
  spread_output out;
  spread_.tick(now, out);
  const auto mode = spread_.mode(now);
  reading_ = mode == follow_mode::follow;
  follower_.tick(mode, now);
  values_.tick(now);
  registration_.tick(now);
  update_registration(now);
  carry_out(out);
  send_failures(now);
  send_flow_records(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + sweep_interval;
    replica_.tick(now);
    flows_.expire(now);
  }
}

void fleet_agent::update_registration(time_point now) {
  if (registration_.has_written()) {
    spread_.on_joined(now);
  }
  if (registration_.is_registered() != was_registered_) {
    was_registered_ = !was_registered_;
    if (was_registered_) {
      host_.on_registered(registration_.has_written(), now);
    }
  }
}

void fleet_agent::on_message(const endpoint& from,
                             const spread_message& message, time_point now) {
  if (const auto* report = std::get_if<failure_report>(&message.body)) {
    auto update = update_without_changes();
    update.failures = failures_.on_report(message.run, *report, reading_);
    host_.update(std::move(update));
    return;
  }
  if (const auto* report = std::get_if<flow_record_report>(&message.body)) {
    on_flow_report(*report, now);
    return;
  }
  spread_output out;
  spread_.on_message(from, message, now, out);
  carry_out(out);
}

void fleet_agent::on_fetched(const std::optional<spread_message>& answer,
                             time_point now) {
  const auto* body = answer ? std::get_if<bulletin>(&answer->body) : nullptr;
  if (body != nullptr && body->history) {
    on_flow_report({body->history->flows}, now);
  }
  spread_output out;
  spread_.on_fetched(answer, now, out);
  carry_out(out);
}

void fleet_agent::on_failures(const std::vector<upstream_failures>& failures) {
  failures_.add(failures);
}

void fleet_agent::send_failures(time_point now) {
  auto report = failures_.take(reading_, now);
  if (!report) {
    return;
  }
  std::vector<endpoint> to;
  if (reading_) {
    to = spread_.data_centre_peers();
  } else if (const auto reader = spread_.reader(now)) {
    to.push_back(*reader);
  }
  if (!to.empty()) {
    host_.send({std::move(to), spread_.make_message(std::move(*report))});
  }
}

void fleet_agent::on_flow_records(const std::vector<flow_record>& records,
                                  time_point now) {
  flows_.add(records, now);
  send_flow_records(now);
}

void fleet_agent::send_flow_records(time_point now) {
  if (auto report = flows_.take(now)) {
    host_.send(
        {spread_.flow_peers(), spread_.make_message(std::move(*report))});
  }
}

void fleet_agent::on_flow_report(const flow_record_report& report,
                                 time_point now) {
  flows_.on_report(report, now);
  auto update = update_without_changes();
  update.flows = report.records;
  host_.update(std::move(update));
}

fleet_update fleet_agent::update_without_changes() const {
  fleet_update update;
  update.known_revision = replica_.at();
  update.confirmed_at = replica_.confirmed_at();
  update.configuration_confirmed_at = configuration_confirmed_at_;
  update.data_centre_peers = spread_.data_centre_peers().size();
  return update;
}

void fleet_agent::on_stall(time_point now) { spread_.on_stall(now); }

void fleet_agent::leave(time_point now) {
  spread_output out;
  spread_.leave(now, out);
  carry_out(out);
}

void fleet_agent::configure(std::vector<endpoint> seeds, milliseconds max_age) {
  spread_.configure(std::move(seeds), max_age);
}

spread_message fleet_agent::changes_after(revision after,
                                          time_point now) const {
  return spread_.changes_after(after, now);
}

spread_message fleet_agent::unlisted_items(time_point now) const {
  auto message = spread_.unlisted_items(now);
  std::get<bulletin>(message.body).history = {flows_.all(now),
                                              spread_.history_covered(now)};
  return message;
}

void fleet_agent::on_listing(const item_listing& items, time_point asked) {
  const auto now = runtime_clock::now();
  host_.on_store(error_kind::none, now);
  const auto outdated_before = replica_.outdated();
  spread_output out;
  spread_.on_store_answer(items, asked, now, out);
  if (items.complete) {
    host_.on_listed({items.at, items.items.size(), out.updated_items.size(),
                     replica_.outdated() - outdated_before},
                    now);
  }
  carry_out(out);
}

void fleet_agent::carry_out(spread_output& out) {
  for (const auto& datagram : out.datagrams) {
    host_.send(datagram);
  }
  if (out.fetch) {
    host_.fetch(*out.fetch);
  }
  const auto now = runtime_clock::now();
  report_kept(now);
  send_update(out.updated_items, now);
}

void fleet_agent::report_kept(time_point now) {
  for (const auto& kept : replica_.take_kept()) {
    host_.on_kept(kept, now);
  }
}

void fleet_agent::send_update(std::vector<kv_item>& new_items, time_point now) {
  unsent_items_.insert(unsent_items_.end(),
                       std::make_move_iterator(new_items.begin()),
                       std::make_move_iterator(new_items.end()));
  if (spread_.awaits_history(now)) {
    return;
  }
  auto update = update_without_changes();
  const bool is_fresh_now = spread_.is_fresh(now);
  update.reconnected = is_fresh_now && !was_fresh_;
  was_fresh_ = is_fresh_now;
  if (update.reconnected && std::exchange(has_been_fresh_, true)) {
    lapse_grace_until_ = now + lapse_grace;
  }
  for (const auto& item : std::exchange(unsent_items_, {})) {
    if (auto change = decode(item, now)) {
      update.changes.push_back(std::move(*change));
    }
  }
  confirm_configuration();
  update.configuration_confirmed_at = configuration_confirmed_at_;
  if (spread_.members_version() != sent_members_version_) {
    sent_members_version_ = spread_.members_version();
    update.members.emplace();
    for (const auto& [name, member] : spread_.members()) {
      update.members->push_back(name);
    }
  }
  if (!update.changes.empty() || update.members || update.reconnected ||
      now >= next_update_) {
    next_update_ = now + update_interval;
    host_.update(std::move(update));
  }
}

std::optional<fleet_change> fleet_agent::decode(const kv_item& item,
                                                time_point now) {
  if (item.key.starts_with(members_prefix)) {
    host_.on_member(item, now);
    return std::nullopt;
  }
  auto change = schema_.decode(item);
  if (!change) {
    if (item.key == schema_.configuration_key()) {
      is_configuration_rejected_ = true;
      host_.on_rejected(item.changed, now);
    }
    return std::nullopt;
  }
  if (item.removed) {
    add_removal_times(*change, item.key, now);
  }
  if (!is_current(*change, now)) {
    return std::nullopt;
  }
  change->supersedes = replica_.is_kept(item.key);
  host_.on_change(*change, now);
  return change;
}

void fleet_agent::add_removal_times(fleet_change& change,
                                    const std::string& key,
                                    time_point now) const {
  if (auto* upstream = std::get_if<upstream_change>(&change.content);
      upstream != nullptr && now < lapse_grace_until_) {
    upstream->grace =
        std::chrono::duration_cast<milliseconds>(lapse_grace_until_ - now);
  } else if (auto* state = std::get_if<data_centre_change>(&change.content)) {
    state->back_for = replica_.removal_age(key, now);
  }
}

// Operators may write earlier versions again before the latest one, after the
// store has lost them.
bool fleet_agent::is_current(const fleet_change& change, time_point now) {
  const auto* routes = std::get_if<configuration_change>(&change.content);
  if (routes == nullptr) {
    return true;
  }
  if (routes->value->version < configuration_) {
    host_.on_ignored(change, now);
    return false;
  }
  configuration_ = routes->value->version;
  is_configuration_rejected_ = false;
  return true;
}

// The replica may know that there is a later configuration without its value,
// or not know of one that a restore has lost.
void fleet_agent::confirm_configuration() {
  const bool is_latest =
      configuration_ != 0 && !is_configuration_rejected_ &&
      !replica_.is_missing(std::string(schema_.configuration_key())) &&
      !replica_.is_holding();
  if (is_latest) {
    configuration_confirmed_at_ = replica_.confirmed_at();
  }
}

}  // namespace rosemarydrum
