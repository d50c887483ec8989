#include "rosemarydrum/forwarding/fleet_agent.h"

#include <set>
#include <string_view>
#include <utility>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds sweep_interval{1000};
/// Removed items are kept for longer than the lifetime of a flow.
constexpr seconds removal_retention{120};
/// Wait time of a watch, in percent of the longest allowed age.
constexpr int watch_wait_percent = 25;
/// Members count sightings of others within the time of a retransmission.
constexpr milliseconds sighting_interval{30};
constexpr std::size_t max_queued_sightings = 512;
/// An upstream that was restarted longer ago is warm.
constexpr seconds unanswered_retention{5};

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
      sightings_(sighting_interval, max_reported_sightings,
                 max_queued_sightings),
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
      registration_(store, replica_, settings.self),
      outages_(store, schema.data_centres_prefix()) {}

void fleet_agent::tick(time_point now) {
  spread_output out;
  spread_.tick(now, out);
  const auto mode = spread_.mode(now);
  reading_ = mode == follow_mode::follow;
  follower_.tick(mode, now);
  values_.tick(now);
  registration_.tick(now);
  update_registration(now);
  update_outages(now);
  carry_out(out);
  send_failures(now);
  send_sightings(now);
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

// One reader of each data centre follows the store.
void fleet_agent::update_outages(time_point now) {
  std::set<std::string_view> earlier;
  for (const auto& [name, member] : spread_.members()) {
    if (member.data_centre < spread_.self().data_centre) {
      earlier.insert(member.data_centre);
    }
  }
  outages_.tick(reading_, earlier.size(), max_entry_age + longest_warmup_, now);
}

void fleet_agent::on_message(const endpoint& from,
                             const spread_message& message, time_point now) {
  if (const auto* report = std::get_if<failure_report>(&message.body)) {
    auto update = update_without_changes();
    update.failures = failures_.on_report(message.run, *report, reading_);
    host_.update(std::move(update));
    return;
  }
  if (const auto* report = std::get_if<sighting_report>(&message.body)) {
    auto update = update_without_changes();
    for (const auto& each : report->entries) {
      update.sightings.push_back({message.run, each});
      keep_unanswered(each, now);
    }
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
    for (const auto& each : body->history->sightings) {
      unsent_sightings_.push_back({each, now});
      keep_unanswered(each, now);
    }
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

void fleet_agent::on_sightings(const std::vector<upstream_sighting>& sightings,
                               time_point now) {
  for (const auto& each : sightings) {
    sightings_.add(each);
    keep_unanswered(each, now);
  }
  send_sightings(now);
}

void fleet_agent::keep_unanswered(const upstream_sighting& seen,
                                  time_point now) {
  while (!unanswered_.empty() &&
         now - unanswered_.front().received > unanswered_retention) {
    unanswered_.pop_front();
  }
  if (seen.kind == sighting_kind::unanswered_handshake &&
      unanswered_.size() < max_queued_sightings) {
    unanswered_.push_back({seen, now});
  }
}

std::vector<upstream_sighting> fleet_agent::unanswered(time_point now) const {
  std::vector<upstream_sighting> sightings;
  for (auto [seen, received] : unanswered_) {
    seen.age += std::chrono::duration_cast<milliseconds>(now - received);
    if (seen.age <= unanswered_retention) {
      sightings.push_back(seen);
    }
  }
  return sightings;
}

void fleet_agent::send_sightings(time_point now) {
  auto entries = sightings_.take(now);
  auto to = spread_.data_centre_peers();
  if (entries && !to.empty()) {
    host_.send({std::move(to),
                spread_.make_message(sighting_report{std::move(*entries)})});
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
  std::get<bulletin>(message.body).history = {
      flows_.all(now), spread_.history_covered(now), unanswered(now)};
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

}  // namespace rosemarydrum
