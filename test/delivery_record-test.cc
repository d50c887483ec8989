#define BOOST_TEST_MODULE delivery_record
#include "rosemarydrum/forwarding/delivery_record.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

time_point at(int ms) { return time_point(seconds(100) + milliseconds(ms)); }

// FLOW: guards against losses that are put down to upstreams although the own
// link was blocked when the data was sent.
BOOST_AUTO_TEST_CASE(only_data_that_was_sent_later_shows_a_working_link) {
  delivery_record record;
  BOOST_CHECK(!record.has_delivered_after(at(0)));
  record.on_delivered(at(500));
  BOOST_CHECK(!record.has_delivered_after(at(510)));
  BOOST_CHECK(record.has_delivered_after(at(480)));
  BOOST_CHECK(record.has_delivered_after(at(360)));
  BOOST_CHECK(!record.has_delivered_after(at(340)));
}

// Guards against answers that arrive in another order than their requests.
BOOST_AUTO_TEST_CASE(order_does_not_matter) {
  delivery_record record;
  record.on_delivered(at(900));
  record.on_delivered(at(500));
  BOOST_CHECK(record.has_delivered_after(at(850)));
  BOOST_CHECK(record.has_delivered_after(at(450)));
  BOOST_CHECK(!record.has_delivered_after(at(700)));
}

}  // namespace
}  // namespace rosemarydrum
