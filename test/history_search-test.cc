#define BOOST_TEST_MODULE history_search
#include "rosemarydrum/spread/history_search.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};
time_point at(int ms) { return start + milliseconds(ms); }
endpoint member(std::uint32_t number) { return {number, 7700}; }

struct fixture {
  fixture() { search.begin(revision(10), start); }

  void answer(std::uint64_t revision_number, seconds covered, time_point now) {
    search.on_asked(member(++asked));
    search.on_answer(revision(revision_number), covered, now);
  }

  history_search search;
  std::uint32_t asked = 0;
};

// Guards against a process that asks before it knows the items, and one that
// never ends asking.
BOOST_AUTO_TEST_CASE(asking_begins_with_the_items_and_ends) {
  history_search search;
  BOOST_CHECK(!search.is_due(start));
  BOOST_CHECK(!search.is_awaited(start));
  search.begin(revision(10), start);
  int asks = 0;
  while (search.is_due(at(asks))) {
    search.on_asked(member(1));
    BOOST_CHECK(!search.is_due(at(asks)));
    search.on_failure();
    ++asks;
  }
  BOOST_CHECK_EQUAL(asks, 6);
  BOOST_CHECK(!search.is_awaited(at(asks)));
}

// Guards against a process that is content with members which have started as
// late as itself.
BOOST_FIXTURE_TEST_CASE(members_that_know_little_are_not_enough, fixture) {
  answer(10, seconds(1), at(10));
  answer(11, seconds(1), at(20));
  BOOST_CHECK(search.is_due(at(20)));
  BOOST_CHECK(search.is_awaited(at(20)));
  answer(11, seconds(30), at(30));
  BOOST_CHECK(!search.is_due(at(30)));
  BOOST_CHECK(!search.is_awaited(at(30)));
  // Others may rely on what it has learned.
  BOOST_CHECK(search.covered(at(30)) == seconds(30));
  BOOST_CHECK(search.covered(at(1030)) == seconds(31));
}

// Guards against relying on a member that has not received yet what was removed
// just before this process read the items.
BOOST_FIXTURE_TEST_CASE(members_that_are_behind_are_asked_again, fixture) {
  answer(9, seconds(30), at(10));
  BOOST_CHECK(search.covered(at(10)) == milliseconds(10));
  BOOST_CHECK(search.asked().empty());
  BOOST_CHECK(!search.is_due(at(109)));
  BOOST_CHECK(search.is_due(at(110)));
  BOOST_CHECK(search.is_awaited(at(110)));
}

// Guards against callers that wait for members which do not answer.
BOOST_FIXTURE_TEST_CASE(the_wait_for_answers_is_short, fixture) {
  BOOST_CHECK(search.on_asked(member(1)) == milliseconds(150));
  BOOST_CHECK(search.is_awaited(at(249)));
  BOOST_CHECK(!search.is_awaited(at(250)));
  search.on_failure();
  BOOST_CHECK(search.on_asked(member(2)) == milliseconds(300));
  BOOST_CHECK(!search.is_awaited(at(250)));
}

// Guards against a wait although all members have been asked, and against
// members that are never asked again.
BOOST_FIXTURE_TEST_CASE(a_lone_process_does_not_wait, fixture) {
  search.on_all_asked(at(1));
  BOOST_CHECK(!search.is_awaited(at(1)));
  BOOST_CHECK(!search.is_due(at(500)));
  BOOST_CHECK(search.is_due(at(501)));
}

// Guards against a process that relies on what it knew before it was cut off,
// and against another wait.
BOOST_FIXTURE_TEST_CASE(a_gap_starts_another_search, fixture) {
  answer(10, seconds(30), at(10));
  answer(10, seconds(30), at(20));
  BOOST_CHECK(!search.is_due(at(20)));
  search.begin(revision(90), at(60'000));
  BOOST_CHECK(search.covered(at(60'000)) == seconds(0));
  BOOST_CHECK(search.is_due(at(60'000)));
  BOOST_CHECK(!search.is_awaited(at(60'000)));
}

// Guards against memory that is overwritten when the search begins again while
// a member is being asked, and that member then turns out to be behind.
BOOST_FIXTURE_TEST_CASE(a_late_answer_after_a_new_start, fixture) {
  search.on_asked(member(1));
  search.begin(revision(20), at(10));
  BOOST_CHECK(search.asked().empty());
  search.on_answer(revision(15), seconds(30), at(20));
  BOOST_CHECK(search.asked().empty());
  search.on_asked(member(2));
  BOOST_REQUIRE_EQUAL(search.asked().size(), 1U);
  BOOST_CHECK(search.asked().front() == member(2));
}

}  // namespace
}  // namespace rosemarydrum
