#define BOOST_TEST_MODULE request_witness
#include "rosemarydrum/requests/request_witness.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>

#include "fixed_seed.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

constexpr balancer_run owner{balancer_id(1), incarnation(10)};
constexpr balancer_run self{balancer_id(2), incarnation(20)};

request_key key(std::uint64_t number) {
  return {caller_id(1), service_id(1), flow_id(1), request_id(number)};
}

// Guards against a request that is both recorded, so that it may run, and
// closed, so that its caller is told "not run". Messages come in any order,
// records expire and the table is full at times.
RC_BOOST_PROP(never_recorded_and_closed, ()) {
  manual_time frozen_clock;
  request_witness witness(self, 4);
  time_point now{seconds(1000)};
  const auto expires = runtime_clock::to_unix(now) + 60'000;
  std::map<request_key, bool> recorded;
  std::map<request_key, bool> closed;
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::arbitrary<std::uint32_t>());
  for (const auto step : steps) {
    const auto which = key(step % 6);
    now += milliseconds(step / 8 % 4 == 0 ? 25'000 : 10);
    if (step % 16 < 8) {
      recorded[which] |= witness.on_record({which, expires}, now).recorded;
    } else {
      closed[which] |=
          witness.on_close({which, owner, self, expires}, now).closed;
    }
    witness.tick(now);
    RC_ASSERT(witness.size() <= 4U);
    RC_ASSERT(!recorded[which] || !closed[which]);
  }
}

// Guards against closing a request after the restart of the witness, which
// loses the records of the earlier run.
BOOST_AUTO_TEST_CASE(other_run_of_the_witness_does_not_close) {
  manual_time frozen_clock;
  request_witness witness(self);
  const time_point now{seconds(1000)};
  const auto expires = runtime_clock::to_unix(now) + 60'000;
  const balancer_run earlier{self.id, incarnation(19)};
  BOOST_TEST(!witness.on_close({key(1), owner, earlier, expires}, now).closed);
  BOOST_TEST(witness.on_close({key(1), owner, self, expires}, now).closed);
  BOOST_TEST(!witness.on_record({key(1), expires}, now).recorded);
}

// Guards against records that are dropped while their token is still accepted,
// and against records that are never dropped.
BOOST_AUTO_TEST_CASE(records_last_until_30_s_after_expiry) {
  manual_time frozen_clock;
  request_witness witness(self);
  time_point now{seconds(1000)};
  const auto expires = runtime_clock::to_unix(now) + 60'000;
  BOOST_TEST(witness.on_record({key(1), expires}, now).recorded);
  now += milliseconds(89'999);
  witness.tick(now);
  BOOST_TEST(witness.on_record({key(1), expires}, now).recorded);
  BOOST_TEST(!witness.on_record({key(2), expires}, now).recorded);
  now += milliseconds(1);
  witness.tick(now);
  BOOST_TEST(witness.size() == 0U);
}

}  // namespace
}  // namespace rosemarydrum
