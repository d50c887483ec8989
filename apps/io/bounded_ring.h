#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace rosemarydrum {

/// A bounded single-producer, single-consumer queue. `push` wakes the
/// consumer's event loop once per batch; an item that does not fit is dropped
/// and counted.
template <typename Item>
class bounded_ring {
 public:
  explicit bounded_ring(std::size_t capacity) : queue_(capacity) {}
  ~bounded_ring() {
    drain([](Item&&) {});
  }
  bounded_ring(const bounded_ring&) = delete;
  bounded_ring& operator=(const bounded_ring&) = delete;

  /// `wake` runs on the producer's thread and must make the consumer call
  /// `drain`. Call this before the threads start.
  void on_push(std::function<void()> wake) { wake_ = std::move(wake); }

  /// Returns false if the ring is full.
  bool push(Item item) {
    auto owned = std::make_unique<Item>(std::move(item));
    if (!queue_.push(owned.get())) {
      dropped_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    // The queue holds the pointer now; `drain` deletes the item.
    static_cast<void>(owned.release());
    if (!wake_pending_.exchange(true) && wake_) {
      wake_();
    }
    return true;
  }

  /// Removes all items and passes each to `receive`.
  template <typename Receive>
  void drain(Receive&& receive) {
    // Cleared before the queue is emptied, so that an item pushed meanwhile
    // wakes the consumer again.
    wake_pending_.exchange(false);
    Item* item = nullptr;
    while (queue_.pop(item)) {
      const std::unique_ptr<Item> owned(item);
      receive(std::move(*owned));
    }
  }

  std::uint64_t dropped() const {
    return dropped_.load(std::memory_order_relaxed);
  }

 private:
  boost::lockfree::spsc_queue<Item*> queue_;
  std::function<void()> wake_;
  std::atomic<bool> wake_pending_{false};
  std::atomic<std::uint64_t> dropped_{0};
};

}  // namespace rosemarydrum
