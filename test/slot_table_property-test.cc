#define BOOST_TEST_MODULE slot_table_property
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "fixed_seed.h"
#include "slot_table_simulation.h"

namespace rosemarydrum {
namespace {

// Guards against more requests at an upstream than its limit and more grants
// than slots, under random asks, repeats, lost and duplicated releases,
// upstream restarts, take-overs with missing reports, hand-overs, shares and
// configuration changes.
RC_BOOST_PROP(limits_are_never_exceeded, (std::uint64_t seed)) {
  slot_table_simulation simulation(seed);
  for (int i = 0; i < 10'000; ++i) {
    RC_ASSERT(simulation.step());
  }
  RC_ASSERT(simulation.granted() > 100U);
}

}  // namespace
}  // namespace rosemarydrum
