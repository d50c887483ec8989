#define BOOST_TEST_MODULE event_log
#include "rosemarydrum/events/event_log.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "fixed_seed.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

event_record event_of(event_id id) {
  event_record event;
  event.id = id;
  return event;
}

balancer_run run_of(std::uint32_t id) {
  return {balancer_id(id), incarnation(id * 100U)};
}

event_record at(std::uint32_t process, std::uint64_t sequence,
                std::uint64_t logical, unix_ms wall) {
  auto event = event_of(event_id::flow_bound);
  event.process = run_of(process);
  event.sequence = sequence;
  event.logical_time = logical;
  event.wall_time = wall;
  return event;
}

// Guards against events without a catalogue entry.
BOOST_AUTO_TEST_CASE(catalogue_is_sorted_and_complete) {
  const auto rows = event_catalogue();
  BOOST_CHECK(std::ranges::is_sorted(rows, std::ranges::less_equal{},
                                     &event_description::id));
  for (const auto& row : rows) {
    BOOST_CHECK(find_event(row.id) == &row);
    BOOST_CHECK(!row.name.empty() && !row.text.empty());
  }
  BOOST_CHECK_EQUAL(rows.size(), 72U);
  BOOST_CHECK(find_event(event_id(999)) == nullptr);
}

// Guards against events without the sequence and times that merging needs.
BOOST_AUTO_TEST_CASE(added_events_are_stamped) {
  const manual_time clock(seconds(5));
  event_log log(run_of(3));
  const auto first =
      log.add(event_of(event_id::process_started), runtime_clock::now());
  const auto second =
      log.add(event_of(event_id::process_ready), runtime_clock::now());
  BOOST_REQUIRE(first && second);
  BOOST_CHECK(first->process == run_of(3));
  BOOST_CHECK_EQUAL(first->sequence, 1U);
  BOOST_CHECK_EQUAL(second->sequence, 2U);
  BOOST_CHECK_EQUAL(first->wall_time, 5000U);
  BOOST_CHECK_LT(first->logical_time, second->logical_time);
}

// Guards against one frequent kind of events that fills the log or suppresses
// other kinds.
BOOST_AUTO_TEST_CASE(rate_limit_is_per_kind_and_counts_what_it_drops) {
  manual_time clock(seconds(5));
  event_log log(run_of(1));
  const auto noisy = event_of(event_id::packet_refused);
  for (int i = 0; i < 100; ++i) {
    BOOST_CHECK(log.add(noisy, runtime_clock::now()));
  }
  for (int i = 0; i < 30; ++i) {
    BOOST_CHECK(!log.add(noisy, runtime_clock::now()));
  }
  BOOST_CHECK(log.add(event_of(event_id::lease_lost), runtime_clock::now()));
  clock.advance(seconds(1));
  const auto next = log.add(noisy, runtime_clock::now());
  BOOST_REQUIRE(next);
  BOOST_CHECK_EQUAL(next->suppressed, 30U);
  BOOST_CHECK_EQUAL(log.add(noisy, runtime_clock::now())->suppressed, 0U);
}

// Guards against a log that grows without bound, or pages that repeat or skip.
BOOST_AUTO_TEST_CASE(ring_keeps_the_newest_events) {
  manual_time clock;
  event_log log(run_of(1), 4);
  for (int i = 0; i < 10; ++i) {
    log.add(event_of(event_id::flow_bound), runtime_clock::now());
  }
  const auto all = log.page(0, 100);
  BOOST_REQUIRE_EQUAL(all.size(), 4U);
  BOOST_CHECK_EQUAL(all.front().sequence, 7U);
  const auto page = log.page(8, 2);
  BOOST_REQUIRE_EQUAL(page.size(), 2U);
  BOOST_CHECK_EQUAL(page.front().sequence, 8U);
  BOOST_CHECK(log.page(11, 2).empty());
}

// Guards against an effect that is listed before its cause when wall clocks
// differ.
BOOST_AUTO_TEST_CASE(receiver_logs_after_the_sender) {
  manual_time clock(seconds(100));
  event_log sender(run_of(1));
  const auto cause =
      sender.add(event_of(event_id::lease_handed_over), runtime_clock::now());
  event_log receiver(run_of(2));
  receiver.observe(sender.next_logical_time());
  const auto effect =
      receiver.add(event_of(event_id::lease_acquired), time_point(seconds(90)));
  const auto merged = merge_events({*effect, *cause});
  BOOST_CHECK(merged[0].event == *cause);
  BOOST_CHECK(merged[1].event == *effect);
  BOOST_CHECK(merged[1].order_certain);
}

// Guards against a restarted process whose events are listed before those of
// its former runs.
BOOST_AUTO_TEST_CASE(restarted_process_logs_after_its_former_run) {
  manual_time clock(seconds(100));
  event_log former(run_of(1));
  event_log restarted(run_of(2));
  const auto before =
      former.add(event_of(event_id::process_ready), runtime_clock::now());
  clock.advance(seconds(1));
  const auto after =
      restarted.add(event_of(event_id::process_started), runtime_clock::now());
  BOOST_CHECK_LT(before->logical_time, after->logical_time);
}

// Guards against a faulty peer that makes the clock wrap around.
BOOST_AUTO_TEST_CASE(too_large_logical_times_are_ignored) {
  event_log log(run_of(1));
  log.observe(~std::uint64_t{0});
  BOOST_CHECK_EQUAL(log.next_logical_time(), 1U);
}

// Guards against concurrent events that are marked as ordered.
BOOST_AUTO_TEST_CASE(equal_logical_times_of_processes_are_uncertain) {
  const auto merged = merge_events(
      {at(2, 1, 5, 20), at(1, 1, 5, 10), at(1, 2, 6, 5), at(1, 2, 6, 5)});
  BOOST_REQUIRE_EQUAL(merged.size(), 3U);
  BOOST_CHECK(merged[0].event.process == run_of(1));
  BOOST_CHECK(merged[0].order_certain);
  BOOST_CHECK(!merged[1].order_certain);
  BOOST_CHECK_EQUAL(merged[2].event.logical_time, 6U);
  BOOST_CHECK(merged[2].order_certain);
}

// Guards against a merge that depends on which balancer answers first, or
// that lists an event before one that it depends on.
BOOST_AUTO_TEST_CASE(merge_respects_messages_in_random_histories) {
  BOOST_CHECK(rc::check([] {
    manual_time clock(seconds(10));
    std::vector<event_log> logs;
    for (std::uint32_t id = 1; id <= 3; ++id) {
      logs.emplace_back(run_of(id));
    }
    std::vector<event_record> events;
    // Pairs of positions in `events`: the second depends on the first.
    std::vector<std::pair<std::size_t, std::size_t>> depends;
    const auto add = [&](std::size_t process) {
      // Simulates skewed wall clocks.
      const auto now = runtime_clock::now() + seconds(*rc::gen::inRange(0, 5));
      events.push_back(*logs[process].add(event_of(event_id::flow_bound), now));
      return events.size() - 1;
    };
    const auto steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step < steps; ++step) {
      const auto from = *rc::gen::inRange<std::size_t>(0, 3);
      const auto to = *rc::gen::inRange<std::size_t>(0, 3);
      const auto cause = add(from);
      logs[to].observe(logs[from].next_logical_time());
      depends.emplace_back(cause, add(to));
    }
    auto shuffled = events;
    std::ranges::reverse(shuffled);
    const auto merged = merge_events(events);
    const auto merged_from_reversed = merge_events(shuffled);
    RC_ASSERT(merged.size() == events.size());
    const auto position_of = [&](std::size_t index) {
      return std::ranges::find(merged, events[index], &ordered_event::event) -
             merged.begin();
    };
    for (const auto& [cause, effect] : depends) {
      RC_ASSERT(position_of(cause) < position_of(effect));
    }
    for (std::size_t i = 0; i < merged.size(); ++i) {
      RC_ASSERT(merged[i].event == merged_from_reversed[i].event);
    }
  }));
}

}  // namespace
}  // namespace rosemarydrum
