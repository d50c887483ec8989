#define BOOST_TEST_MODULE reader_choice
#include "rosemarydrum/spread/reader_choice.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr milliseconds longest_age{3000};

struct three_members {
  three_members() {
    add("large", "north", 500);
    add("self", "north", 250);
    add("small", "north", 120);
    add("far", "south", 900);
  }

  void add(const std::string& name, const std::string& data_centre,
           std::uint32_t capacity) {
    members[name] = {name, data_centre, {1, 7700}, capacity};
  }

  void hear(const std::string& sender, milliseconds age, bool leaving = false) {
    bulletin told;
    told.reading = !leaving;
    told.leaving = leaving;
    told.age = age;
    choice.on_bulletin(sender, told, longest_age, true, now);
  }

  bool reads(bool read_before, milliseconds age) const {
    return choice.reads(read_before, now - age, longest_age, now);
  }

  member_map members;
  member_record self{"self", "north", {1, 7700}, 250};
  reader_choice choice{self, members};
  time_point now{seconds(100)};
};

// Guards against a data centre without a reader, or with many.
BOOST_FIXTURE_TEST_CASE(the_largest_of_the_data_centre_reads, three_members) {
  BOOST_CHECK_EQUAL(choice.rank(), 1U);
  BOOST_CHECK(!reads(false, milliseconds(0)));
  members.erase("large");
  BOOST_CHECK_EQUAL(choice.rank(), 0U);
  BOOST_CHECK(reads(false, milliseconds(0)));
}

// Guards against knowledge that grows too old when the reader is silent, and
// against members that take over all at once.
BOOST_FIXTURE_TEST_CASE(members_take_over_by_rank, three_members) {
  const auto own_age = longest_age * 43 / 100;
  BOOST_CHECK(!reads(false, own_age - milliseconds(1)));
  BOOST_CHECK(reads(false, own_age));
  add("larger", "north", 600);
  BOOST_CHECK(!reads(false, own_age));
  BOOST_CHECK(reads(false, longest_age / 2));
}

// Guards against two readers that go on when the first is back, and against a
// reader that gives up for one that cannot read.
BOOST_FIXTURE_TEST_CASE(a_former_reader_is_given_way, three_members) {
  BOOST_CHECK(reads(true, milliseconds(0)));
  hear("small", milliseconds(10));
  hear("far", milliseconds(10));
  hear("large", milliseconds(2000));
  BOOST_CHECK(reads(true, milliseconds(0)));
  hear("large", milliseconds(10));
  BOOST_CHECK(!reads(true, milliseconds(0)));
  now += milliseconds(701);
  BOOST_CHECK(reads(true, milliseconds(0)));
}

// Guards against a second without a reader when it stops as planned.
BOOST_FIXTURE_TEST_CASE(a_leaving_reader_counts_no_more, three_members) {
  hear("large", milliseconds(10), true);
  BOOST_CHECK_EQUAL(choice.rank(), 0U);
  BOOST_CHECK(reads(false, milliseconds(0)));
}

// Guards against old messages, read after a stall, that make a reader look
// alive.
BOOST_FIXTURE_TEST_CASE(messages_that_waited_show_no_reader, three_members) {
  bulletin told;
  told.reading = true;
  choice.on_bulletin("large", told, longest_age, false, now);
  BOOST_CHECK(!choice.is_covered(now));
}

}  // namespace
}  // namespace rosemarydrum
