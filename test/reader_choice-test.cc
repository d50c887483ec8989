#define BOOST_TEST_MODULE reader_choice
#include "rosemarydrum/spread/reader_choice.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr milliseconds max_age{3000};

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

  void receive_bulletin(const std::string& sender, milliseconds age,
                        bool leaving = false) {
    bulletin body;
    body.reading = !leaving;
    body.leaving = leaving;
    body.age = age;
    choice.on_bulletin(sender, body, max_age, true, now);
  }

  bool should_read(bool was_reading, milliseconds age) const {
    return choice.should_read(was_reading, now - age, max_age, now);
  }

  member_map members;
  member_record self{"self", "north", {1, 7700}, 250};
  reader_choice choice{self, members};
  time_point now{seconds(100)};
};

// Guards against a data centre with no reader or with many.
BOOST_FIXTURE_TEST_CASE(the_largest_member_of_the_data_centre_reads,
                        three_members) {
  BOOST_CHECK_EQUAL(choice.rank(), 1U);
  BOOST_CHECK(!should_read(false, milliseconds(0)));
  members.erase("large");
  BOOST_CHECK_EQUAL(choice.rank(), 0U);
  BOOST_CHECK(should_read(false, milliseconds(0)));
}

// Guards against items that grow too old when the reader is silent, and against
// all members taking over at once.
BOOST_FIXTURE_TEST_CASE(members_take_over_by_rank, three_members) {
  const auto own_age = max_age * 43 / 100;
  BOOST_CHECK(!should_read(false, own_age - milliseconds(1)));
  BOOST_CHECK(should_read(false, own_age));
  add("larger", "north", 600);
  BOOST_CHECK(!should_read(false, own_age));
  BOOST_CHECK(should_read(false, max_age / 2));
}

// Guards against two readers that both continue when the higher-ranked one is
// back, and against yielding to a member that cannot read.
BOOST_FIXTURE_TEST_CASE(a_reader_yields_to_a_higher_ranked_one, three_members) {
  BOOST_CHECK(should_read(true, milliseconds(0)));
  receive_bulletin("small", milliseconds(10));
  receive_bulletin("far", milliseconds(10));
  receive_bulletin("large", milliseconds(2000));
  BOOST_CHECK(should_read(true, milliseconds(0)));
  receive_bulletin("large", milliseconds(10));
  BOOST_CHECK(!should_read(true, milliseconds(0)));
  now += milliseconds(701);
  BOOST_CHECK(should_read(true, milliseconds(0)));
}

// Guards against a second without a reader at a planned stop of the reader.
BOOST_FIXTURE_TEST_CASE(a_leaving_reader_is_ignored, three_members) {
  receive_bulletin("large", milliseconds(10), true);
  BOOST_CHECK_EQUAL(choice.rank(), 0U);
  BOOST_CHECK(should_read(false, milliseconds(0)));
}

// Guards against a reader that counts as alive because of messages that were
// queued during a stall.
BOOST_FIXTURE_TEST_CASE(messages_queued_during_a_stall_show_no_reader,
                        three_members) {
  bulletin body;
  body.reading = true;
  choice.on_bulletin("large", body, max_age, false, now);
  BOOST_CHECK(!choice.has_outranking_reader(now));
}

}  // namespace
}  // namespace rosemarydrum
