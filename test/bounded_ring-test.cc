#define BOOST_TEST_MODULE bounded_ring
#include "io/bounded_ring.h"

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

namespace rosemarydrum {
namespace {

// Guards against a full ring that blocks the sender or drops without a count.
BOOST_AUTO_TEST_CASE(full_ring_drops_and_counts) {
  bounded_ring<int> ring(2);
  BOOST_CHECK(ring.push(1));
  BOOST_CHECK(ring.push(2));
  BOOST_CHECK(!ring.push(3));
  BOOST_CHECK_EQUAL(ring.dropped(), 1U);
  std::vector<int> got;
  ring.drain([&](int item) { got.push_back(item); });
  BOOST_CHECK((got == std::vector<int>{1, 2}));
  BOOST_CHECK(ring.push(4));
}

// Guards against a wake-up for each item, and against an item that is pushed
// after a drain and wakes nobody.
BOOST_AUTO_TEST_CASE(one_wake_up_for_each_batch) {
  bounded_ring<int> ring(8);
  int wakes = 0;
  ring.on_push([&] { ++wakes; });
  ring.push(1);
  ring.push(2);
  BOOST_CHECK_EQUAL(wakes, 1);
  ring.drain([](int) {});
  ring.push(3);
  BOOST_CHECK_EQUAL(wakes, 2);
}

// Guards against items that are lost, doubled or reordered between threads.
BOOST_AUTO_TEST_CASE(items_keep_their_order_between_threads) {
  constexpr int items = 100'000;
  bounded_ring<std::unique_ptr<int>> ring(64);
  std::thread sender([&] {
    for (int i = 0; i < items;) {
      if (ring.push(std::make_unique<int>(i))) {
        ++i;
      } else {
        std::this_thread::yield();
      }
    }
  });
  int next = 0;
  bool in_order = true;
  while (next < items) {
    ring.drain([&](std::unique_ptr<int> item) {
      in_order = in_order && *item == next;
      ++next;
    });
    std::this_thread::yield();
  }
  sender.join();
  BOOST_CHECK(in_order);
}

}  // namespace
}  // namespace rosemarydrum
