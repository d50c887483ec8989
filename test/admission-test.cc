#define BOOST_TEST_MODULE admission
#include "rosemarydrum/requests/admission.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

constexpr endpoint service_address{0x0a000001, 80};
constexpr time_point start{seconds(1000)};

struct fixture {
  configuration services;
  admission admission_check;

  fixture() {
    service s;
    s.id = service_id(1);
    s.address = service_address;
    s.approvals = {
        approval{caller_id(1), "wide", {0xc0a80000, 16}, true, 0, 8},
        approval{caller_id(2), "narrow", {0xc0a80100, 24}, true, 0, 800},
        approval{caller_id(3), "silent", {0xac100000, 16}, true, 0, 0}};
    services.put(s);
  }
  admission_verdict admit(std::uint32_t caller, time_point now = start,
                          packet_kind kind = packet_kind::request,
                          std::size_t balancers = 8) {
    return admission_check.admit(services, {{caller, 1}, service_address}, kind,
                                 balancers, now);
  }
  int admitted(std::uint32_t caller, int count, time_point now) {
    int admitted_count = 0;
    for (int i = 0; i < count; ++i) {
      admitted_count += admit(caller, now).error == error_kind::none ? 1 : 0;
    }
    return admitted_count;
  }
};

// Guards against admitting callers without an approval (guarantee 2).
BOOST_FIXTURE_TEST_CASE(only_approved_callers_pass, fixture) {
  BOOST_CHECK(admit(0x08080808).error == error_kind::not_approved);
  const auto other =
      admission_check.admit(services, {{0xc0a80001, 1}, {0x0a000001, 81}},
                            packet_kind::request, 8, start);
  BOOST_CHECK(other.error == error_kind::unknown_service);
  BOOST_CHECK(admit(0xc0a80001).matched_approval->caller == caller_id(1));
}

// Guards against identifying a caller by a wider prefix of another caller.
BOOST_FIXTURE_TEST_CASE(longest_prefix_wins, fixture) {
  BOOST_CHECK(admit(0xc0a80105).matched_approval->caller == caller_id(2));
  BOOST_CHECK(admit(0xc0a80205).matched_approval->caller == caller_id(1));
}

// Guards against admitting more than the approved load, and against balancers
// that each admit the whole load.
BOOST_FIXTURE_TEST_CASE(approved_load_is_divided, fixture) {
  BOOST_TEST(admitted(0xc0a80105, 1000, start) == 100);
  BOOST_TEST(admitted(0xc0a80105, 1000, start + milliseconds(500)) == 50);
  BOOST_TEST(admitted(0xc0a80105, 1000, start + seconds(60)) == 100);
  BOOST_TEST(admitted(0xc0a80001, 10, start) == 1);
  BOOST_TEST(admitted(0xc0a80001, 10, start + seconds(1)) == 1);
  BOOST_TEST(admitted(0xac100001, 10, start) == 0);
  BOOST_CHECK(admit(0xac100001).matched_approval != nullptr);
}

// Guards against established flows that break because their packets count
// towards the rate limit.
BOOST_FIXTURE_TEST_CASE(flow_packets_do_not_count, fixture) {
  admitted(0xc0a80001, 10, start);
  for (const auto kind : {packet_kind::flow_data, packet_kind::flow_end}) {
    BOOST_CHECK(admit(0xc0a80001, start, kind).error == error_kind::none);
  }
}

// Guards against a division by zero before the first heartbeat, and against a
// clock that steps back.
BOOST_FIXTURE_TEST_CASE(zero_balancers_and_backward_clock_are_handled,
                        fixture) {
  BOOST_CHECK(admit(0xc0a80001, start, packet_kind::request, 0).error ==
              error_kind::none);
  BOOST_TEST(admitted(0xc0a80105, 1000, start) == 100);
  BOOST_TEST(admitted(0xc0a80105, 10, start - seconds(10)) == 0);
}

}  // namespace
}  // namespace rosemarydrum
