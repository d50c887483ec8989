#include <iterator>
#include <utility>

#include "rosemarydrum/forwarding/fleet_agent.h"
#include "rosemarydrum/spread/member_codec.h"

/// What the forwarder learns of the items that a fleet_agent receives.
namespace rosemarydrum {
namespace {

/// Updates are sent at least this often, because they carry the replica's age.
constexpr milliseconds update_interval{500};
/// Live upstreams write their entries again within this time after the store
/// has returned.
constexpr milliseconds lapse_grace{2200};

}  // namespace

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
  for (auto& [seen, received] : std::exchange(unsent_sightings_, {})) {
    seen.age += std::chrono::duration_cast<milliseconds>(now - received);
    update.sightings.push_back({{}, seen});
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
  if (!update.changes.empty() || !update.sightings.empty() || update.members ||
      update.reconnected || now >= next_update_) {
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
  outages_.on_item(item, now);
  if (item.key.starts_with(outages_prefix)) {
    return decode_outage(item);
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

// The time of the return is unknown: it may have been just now.
std::optional<fleet_change> fleet_agent::decode_outage(
    const kv_item& item) const {
  const auto name = item.key.substr(outages_prefix.size());
  const auto key = std::string(schema_.data_centres_prefix()) + name;
  if (item.removed || replica_.find(key) != nullptr) {
    return std::nullopt;
  }
  return fleet_change{item.changed,
                      data_centre_change{name, false, milliseconds(0)}, false};
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
    const auto* record =
        replica_.find(std::string(outages_prefix) + state->name);
    const bool is_recorded = record != nullptr && !record->removed;
    if (!state->out && !state->back_for && is_recorded) {
      state->back_for = milliseconds(0);
    }
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
  longest_warmup_ = routes->value->longest_warmup();
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
