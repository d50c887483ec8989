#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace rosemarydrum {

/// A bounded queue from one thread to one other. `push` wakes the receiver's
/// event loop, once for each batch; an item that does not fit is dropped and
/// counted.
template <typename Item>
class bounded_ring {
 public:
  explicit bounded_ring(std::size_t capacity) : queue_(capacity) {}
  ~bounded_ring() {
    drain([](Item&&) {});
  }
  bounded_ring(const bounded_ring&) = delete;
  bounded_ring& operator=(const bounded_ring&) = delete;

  /// `wake` is called in the sending thread and must make the receiver call
  /// `drain`. Set it before the threads start.
  void on_push(std::function<void()> wake) { wake_ = std::move(wake); }

  /// False if the ring is full.
  bool push(Item item) {
    auto owned = std::make_unique<Item>(std::move(item));
    if (!queue_.push(owned.get())) {
      dropped_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    // The ring owns the item now.
    static_cast<void>(owned.release());
    if (!woken_.exchange(true) && wake_) {
      wake_();
    }
    return true;
  }

  /// Passes all items to `receive`.
  template <typename Receive>
  void drain(Receive&& receive) {
    // Cleared first: an item pushed from here on wakes the receiver again.
    woken_.exchange(false);
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
  std::atomic<bool> woken_{false};
  std::atomic<std::uint64_t> dropped_{0};
};

}  // namespace rosemarydrum
