#define BOOST_TEST_MODULE journal
#include <boost/json/object.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <set>
#include <sstream>

#include "fleet/test_packets.h"
#include "forwarder/flow_journal.h"
#include "forwarder/state_journal.h"
#include "rosemarydrum/runtime_clock.h"
#include "rosemarydrum/spread/member_codec.h"

namespace rosemarydrum {
namespace {

struct fixture {
  fixture() {
    flow.ends = test_packets::flow_of(1);
    flow.began = flow.sent_at = flow.opened_at = runtime_clock::now();
    flow.route = "r-1";
    flow.objective = milliseconds(300);
    flow.attempts = 1;
    upstream.record = {
        upstream_key(0xa0), "desk",        "north", {1, 80}, 4, false,
        milliseconds(0),    incarnation(1)};
    packet.flow = flow.ends;
  }

  std::vector<log_entry> taken() {
    std::vector<log_entry> entries;
    ring.drain([&](log_entry&& entry) { entries.push_back(std::move(entry)); });
    return entries;
  }

  manual_time clock{seconds(100)};
  logical_clock logical;
  log_ring ring{1024};
  event_logger log{ring, logical};
  data_metrics metrics;
  flow_journal flows{log, metrics};
  item_replica replica{seconds(60)};
  state_journal states{log, replica};
  open_flow flow;
  known_upstream upstream;
  flow_packet packet;
};

/// A decision or state change and the event that it must log.
struct expectation {
  event_id id;
  std::function<void(fixture&)> decide;
};

time_point now() { return runtime_clock::now(); }

fleet_change make_change(decltype(fleet_change::content) content) {
  return {revision(7), std::move(content)};
}

const std::vector<expectation> expectations{
    {event_id::flow_opened,
     [](fixture& f) { f.flows.on_opened(f.flow, f.upstream, now()); }},
    {event_id::flow_placed_again,
     [](fixture& f) {
       f.flows.on_placed_again(f.flow, f.upstream, f.upstream, seconds(1),
                               repeat_cause::timeout, now());
     }},
    {event_id::flow_retagged,
     [](fixture& f) {
       f.flows.on_retagged(f.flow, f.upstream, f.upstream, now());
     }},
    {event_id::flow_refused,
     [](fixture& f) {
       f.flows.on_refused(f.packet, verdict_reason::no_upstream, "r-1", "desk",
                          {}, now());
     }},
    {event_id::flow_unanswered,
     [](fixture& f) { f.flows.on_unanswered(f.flow, f.upstream, now()); }},
    {event_id::flow_discarded,
     [](fixture& f) {
       f.flows.on_discarded(f.packet, verdict_reason::unknown_tag, now());
     }},
    {event_id::flow_discarded, [](fixture& f) { f.flows.on_malformed(now()); }},
    {event_id::flow_slow,
     [](fixture& f) {
       f.clock.advance(milliseconds(301));
       f.flows.on_ended(f.flow, f.upstream, now());
     }},
    {event_id::upstream_silent,
     [](fixture& f) { f.flows.on_silent(f.flow, f.upstream, 2, now()); }},
    {event_id::upstream_suspected,
     [](fixture& f) {
       f.flows.on_suspected(f.upstream, incarnation(7),
                            now() - milliseconds(80), now());
     }},
    {event_id::upstream_unresponsive,
     [](fixture& f) { f.flows.on_unresponsive(f.upstream, 3, now()); }},
    {event_id::flow_stalled,
     [](fixture& f) { f.flows.on_flow_stalled(f.flow, f.upstream, now()); }},
    {event_id::flow_reset,
     [](fixture& f) { f.flows.on_reset(f.flow, f.upstream, now()); }},
    {event_id::upstream_answers,
     [](fixture& f) {
       f.flows.on_answers(f.flow, f.upstream, seconds(2), now());
     }},
    {event_id::upstream_ejected,
     [](fixture& f) { f.flows.on_ejected(f.upstream, 3.2, now()); }},
    {event_id::upstream_restored,
     [](fixture& f) { f.flows.on_restored(f.upstream, now()); }},
    {event_id::upstream_slow_start,
     [](fixture& f) { f.flows.on_slow_start_entered(f.upstream, now()); }},
    {event_id::upstream_full_pace,
     [](fixture& f) { f.flows.on_slow_start_left(f.upstream, now()); }},
    {event_id::flow_failed,
     [](fixture& f) { f.flows.on_failed(f.flow, f.upstream, 2500, now()); }},
    {event_id::process_stalled,
     [](fixture& f) { f.flows.on_stall(seconds(1), now()); }},
    {event_id::service_unable,
     [](fixture& f) { f.flows.on_ability(true, 0, 9, seconds(3), now()); }},
    {event_id::service_able,
     [](fixture& f) { f.flows.on_ability(false, 0, 0, seconds(0), now()); }},
    {event_id::flows_limited,
     [](fixture& f) {
       f.flows.on_limit_change({"desk", 2, true, 0.3}, now());
     }},
    {event_id::flows_unlimited,
     [](fixture& f) {
       f.flows.on_limit_change({"desk", 2, false, 0.05}, now());
     }},
    {event_id::upstream_listed,
     [](fixture& f) {
       f.states.on_change(make_change(upstream_change{
                              record_state::present, f.upstream.record, {}}),
                          now());
     }},
    {event_id::upstream_unreadable,
     [](fixture& f) {
       f.states.on_change(make_change(upstream_change{
                              record_state::unreadable, f.upstream.record, {}}),
                          now());
     }},
    {event_id::upstream_gone,
     [](fixture& f) {
       f.states.on_change(make_change(upstream_change{
                              record_state::removed, f.upstream.record, {}}),
                          now());
     }},
    {event_id::configuration_applied,
     [](fixture& f) {
       f.states.on_change(make_change(configuration_change{
                              std::make_shared<fleet_configuration>()}),
                          now());
     }},
    {event_id::document_rejected,
     [](fixture& f) { f.states.on_rejected(revision(7), now()); }},
    {event_id::data_centre_out,
     [](fixture& f) {
       f.states.on_change(make_change(data_centre_change{"north", true}),
                          now());
     }},
    {event_id::data_centre_in,
     [](fixture& f) {
       f.states.on_change(make_change(data_centre_change{"north", false}),
                          now());
     }},
    {event_id::member_listed,
     [](fixture& f) {
       const member_record member{"node-2", "north", {1, 2}, 3};
       f.states.on_member({member_key("node-2"),
                           encode_member(member),
                           revision(7),
                           false,
                           false,
                           {}},
                          now());
     }},
    {event_id::member_removed,
     [](fixture& f) {
       f.states.on_member(
           {member_key("node-2"), "", revision(7), true, false, {}}, now());
     }},
    {event_id::member_registered,
     [](fixture& f) { f.states.on_registered(true, now()); }},
    {event_id::store_lost,
     [](fixture& f) { f.states.on_store(error_kind::timed_out, now()); }},
    {event_id::store_back,
     [](fixture& f) {
       f.states.on_store(error_kind::timed_out, now());
       f.taken();
       f.states.on_store(error_kind::none, now());
     }},
    {event_id::store_restored,
     [](fixture& f) {
       f.states.on_era(store_era(3), now());
       f.states.on_era(store_era(4), now());
       f.states.on_era(store_era(4), now());
     }},
    {event_id::store_listed,
     [](fixture& f) {
       f.states.on_listed({revision(7), 30, 1, 2}, now());
     }},
    {event_id::lost_item_kept,
     [](fixture& f) {
       f.states.on_kept({{"op/config", "", revision(9), false, false, {}},
                         {"op/config", "", revision(2), false, false, {}}},
                        now());
     }},
    {event_id::configuration_ignored,
     [](fixture& f) {
       f.states.on_ignored(make_change(configuration_change{}), now());
     }},
    {event_id::knowledge_stale,
     [](fixture& f) { f.states.on_state(false, false, 0, now()); }},
    {event_id::knowledge_fresh,
     [](fixture& f) {
       f.states.on_state(false, false, 0, now());
       f.taken();
       f.states.on_state(true, false, 0, now());
     }},
    {event_id::store_reading_started,
     [](fixture& f) { f.states.on_state(true, true, 2, now()); }},
    {event_id::store_reading_stopped,
     [](fixture& f) {
       f.states.on_state(true, true, 2, now());
       f.taken();
       f.states.on_state(true, false, 2, now());
     }},
    {event_id::process_ready,
     [](fixture& f) { f.states.on_readiness(true, "", now()); }},
    {event_id::ready_changed,
     [](fixture& f) {
       f.states.on_readiness(true, "", now());
       f.taken();
       f.states.on_readiness(false, "stopping", now());
     }},
    {event_id::knowledge_confirmed,
     [](fixture& f) { f.states.on_summary(8, 20, now()); }},
    {event_id::process_stalled,
     [](fixture& f) { f.states.on_stall(seconds(1), now()); }},
};

std::set<std::string> fields_of(event_id id) {
  std::set<std::string> names;
  std::istringstream words{std::string(find_event(id)->fields)};
  for (std::string word; words >> word;) {
    names.insert(word);
  }
  return names;
}

// Guards against a decision that logs nothing, the wrong event, or fields that
// the event catalogue does not list.
BOOST_AUTO_TEST_CASE(each_decision_logs_its_event) {
  for (const auto& expected : expectations) {
    fixture f;
    expected.decide(f);
    const auto entries = f.taken();
    const auto name = find_event(expected.id)->name;
    BOOST_TEST_CONTEXT(name) {
      BOOST_REQUIRE_EQUAL(entries.size(), 1U);
      BOOST_CHECK(entries[0].id == expected.id);
      const auto allowed = fields_of(expected.id);
      for (const auto& field : entries[0].fields) {
        BOOST_CHECK_MESSAGE(allowed.contains(std::string(field.key())),
                            field.key());
      }
    }
  }
}

// Guards against a forwarder event in the catalogue that nothing logs.
BOOST_AUTO_TEST_CASE(each_event_has_a_decision) {
  std::set<event_id> logged{
      // Logged by the daemon itself.
      event_id::process_started,   event_id::shutdown_started,
      event_id::shutdown_finished, event_id::settings_reloaded,
      event_id::settings_rejected, event_id::log_lines_dropped};
  for (const auto& expected : expectations) {
    logged.insert(expected.id);
  }
  for (const auto& row : event_catalogue()) {
    const auto number = static_cast<unsigned>(row.id);
    const bool is_forwarders =
        (number >= 104 && number <= 108) || (number >= 205 && number <= 207) ||
        (number >= 210 && number <= 214) || (number >= 320 && number <= 322) ||
        (number >= 410 && number <= 419) || number >= 700;
    BOOST_CHECK_MESSAGE(!is_forwarders || logged.contains(row.id), row.name);
  }
}

// Guards against a second line for a request that meets its objective; only the
// opening of its flow is logged.
BOOST_FIXTURE_TEST_CASE(requests_in_time_leave_one_line, fixture) {
  flows.on_handshake(flow, now());
  flows.on_opened(flow, upstream, now());
  clock.advance(milliseconds(300));
  flows.on_ended(flow, upstream, now());
  BOOST_CHECK_EQUAL(taken().size(), 1U);
  BOOST_CHECK_EQUAL(metrics.flows_opened, 1U);
  BOOST_CHECK_EQUAL(metrics.flows_ended, 1U);
}

// Guards against repeated lines for unchanged state.
BOOST_FIXTURE_TEST_CASE(beliefs_are_logged_when_they_change, fixture) {
  for (int i = 0; i < 5; ++i) {
    states.on_state(true, false, 0, now());
    states.on_store(error_kind::none, now());
    states.on_readiness(false, "no configuration", now());
  }
  BOOST_CHECK(taken().empty());
}

}  // namespace
}  // namespace rosemarydrum
