#define BOOST_TEST_MODULE slot_table_property
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "fixed_seed.h"
#include "slot_cell.h"

namespace rosemarydrum {
namespace {

// Guards against more load than a cold upstream bears, and more grants than
// slots, under random asks, repeats, releases (lost, copied), restarts, take-
// overs with missing reports, hand-overs, shares and configuration changes.
RC_BOOST_PROP(limits_are_never_exceeded, (std::uint64_t seed)) {
  slot_cell all(seed);
  for (int i = 0; i < 10'000; ++i) {
    RC_ASSERT(all.step());
  }
  RC_ASSERT(all.granted() > 100U);
}

}  // namespace
}  // namespace rosemarydrum
