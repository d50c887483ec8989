#pragma once

#include <deque>
#include <map>
#include <random>
#include <utility>

#include "rosemarydrum/configuration/config_store.h"

namespace rosemarydrum::test {

/// An in-memory config_store. Calls are queued until the test runs them, in any
/// order.
class memory_store : public config_store {
 public:
  /// If set, calls fail and are not performed.
  bool outage = false;
  /// If set, writes are performed but answered with timed_out.
  bool lose_answers = false;
  /// If set, writes are answered with timed_out and performed by run_delayed().
  bool delay_writes = false;
  /// If set, reads return the state after this many writes.
  std::optional<std::size_t> stale;

  /// All accepted writes; the revision is the position, starting at 1.
  std::vector<document> history;
  std::uint64_t calls = 0;

  void get(const std::string& key, callback<store_read_result> done) override {
    enqueue([this, key, done = std::move(done)] {
      if (outage) {
        done({error_kind::store_unavailable, {}});
      } else if (const auto found = latest(visible()); found.contains(key)) {
        done({error_kind::none, found.at(key)});
      } else {
        done({error_kind::not_found, {}});
      }
    });
  }

  void list(const std::string& prefix, revision after,
            callback<store_listing> done) override {
    enqueue([this, prefix, after, done = std::move(done)] {
      done(listing(prefix, after));
    });
  }

  void compare_and_swap(const store_write& write,
                        callback<store_write_result> done) override {
    enqueue([this, write, done = std::move(done)] {
      if (outage) {
        done({error_kind::store_unavailable, certainty::not_run, {}});
      } else if (delay_writes) {
        delayed_.push_back([this, write] { perform(write); });
        done({error_kind::timed_out, certainty::unknown, {}});
      } else if (const auto result = perform(write); lose_answers) {
        done({error_kind::timed_out, certainty::unknown, {}});
      } else {
        done(result);
      }
    });
  }

  watch_id watch(const std::string& prefix, revision after,
                 callback<store_listing> on_change) override {
    watches_[++last_watch_] = {prefix, after, std::move(on_change)};
    return watch_id(last_watch_);
  }
  void end_watch(watch_id id) override { watches_.erase(value_of(id)); }

  /// Answers every watch once.
  void poll_watches() {
    for (auto& [id, item] : watches_) {
      const auto result = listing(item.prefix, item.after);
      item.after = std::max(item.after, result.last);
      item.on_change(result);
    }
  }

  std::size_t waiting() const { return queue_.size(); }
  std::size_t delayed() const { return delayed_.size(); }
  void run(std::size_t index = 0) { take(queue_, index)(); }
  void run_all() {
    while (!queue_.empty()) {
      run();
    }
  }
  /// Performs a delayed write.
  void run_delayed(std::size_t index = 0) { take(delayed_, index)(); }

  /// The current documents, regardless of `stale`.
  std::map<std::string, document> current_documents() const {
    return latest(history.size());
  }

 private:
  using task = std::function<void()>;
  struct watcher {
    std::string prefix;
    revision after{};
    callback<store_listing> on_change;
  };

  static task take(std::deque<task>& from, std::size_t index) {
    auto taken = std::move(from.at(index));
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(index));
    return taken;
  }
  void enqueue(task next) {
    ++calls;
    queue_.push_back(std::move(next));
  }
  std::size_t visible() const {
    return std::min(stale.value_or(history.size()), history.size());
  }
  std::map<std::string, document> latest(std::size_t seen) const {
    std::map<std::string, document> found;
    for (std::size_t i = 0; i < seen; ++i) {
      found[history[i].key] = history[i];
    }
    return found;
  }
  store_listing listing(const std::string& prefix, revision after) const {
    if (outage) {
      return {error_kind::store_unavailable, after, after, {}};
    }
    store_listing result{error_kind::none, after, revision(visible()), {}};
    for (const auto& [key, item] : latest(visible())) {
      if (key.starts_with(prefix) && item.changed > after) {
        result.documents.push_back(item);
      }
    }
    return result;
  }
  store_write_result perform(const store_write& write) {
    const auto found = current_documents();
    const auto current =
        found.contains(write.key) ? found.at(write.key).changed : revision{};
    if (current != write.expected) {
      return {error_kind::conflict, certainty::not_run, current};
    }
    const auto changed = revision(history.size() + 1);
    history.push_back({write.key, write.text, changed});
    return {error_kind::none, certainty::not_applicable, changed};
  }

  std::deque<task> queue_;
  std::deque<task> delayed_;
  std::map<std::uint64_t, watcher> watches_;
  std::uint64_t last_watch_ = 0;
};

}  // namespace rosemarydrum::test
