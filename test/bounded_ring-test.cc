#define BOOST_TEST_MODULE bounded_ring
#include "io/bounded_ring.h"

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

namespace rosemarydrum {
namespace {

// Guards against a full ring that blocks the producer or drops an item without
// counting it.
BOOST_AUTO_TEST_CASE(full_ring_drops_and_counts) {
  bounded_ring<int> ring(2);
  BOOST_CHECK(ring.push(1));
  BOOST_CHECK(ring.push(2));
  BOOST_CHECK(!ring.push(3));
  BOOST_CHECK_EQUAL(ring.dropped(), 1U);
  std::vector<int> received;
  ring.drain([&](int item) { received.push_back(item); });
  BOOST_CHECK((received == std::vector<int>{1, 2}));
  BOOST_CHECK(ring.push(4));
}

// Guards against a wake-up for each item, and against an item pushed after a
// drain that does not wake the consumer.
BOOST_AUTO_TEST_CASE(one_wake_up_for_each_batch) {
  bounded_ring<int> ring(8);
  int wake_count = 0;
  ring.on_push([&] { ++wake_count; });
  ring.push(1);
  ring.push(2);
  BOOST_CHECK_EQUAL(wake_count, 1);
  ring.drain([](int) {});
  ring.push(3);
  BOOST_CHECK_EQUAL(wake_count, 2);
}

// Guards against items that are lost, duplicated or reordered between threads.
BOOST_AUTO_TEST_CASE(items_keep_their_order_between_threads) {
  constexpr int items = 100'000;
  bounded_ring<std::unique_ptr<int>> ring(64);
  std::thread producer([&] {
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
  producer.join();
  BOOST_CHECK(in_order);
}

}  // namespace
}  // namespace rosemarydrum
