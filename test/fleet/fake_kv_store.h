#pragma once

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/scheduler.h"
#include "rosemarydrum/store/kv_store.h"

namespace rosemarydrum {

/// Simulates the platform's store: one revision counter, watches that end with
/// the first change, a history that can be dropped, leases, and a restore from
/// a copy that loses what was acknowledged since.
class fake_kv_store {
 public:
  struct change {
    kv_item item;
    time_point at;
  };
  struct waiting_watch {
    std::string prefix;
    revision after{};
    std::function<void(const kv_watch_result&)> answer;
  };

  using time_source = std::function<time_point()>;

  explicit fake_kv_store(time_source now) : now_(std::move(now)) {
    lives_.push_back({store_era(1), now_(), {}});
  }
  explicit fake_kv_store(scheduler& time)
      : fake_kv_store([&time] { return time.now(); }) {}

  revision put(const std::string& key, const std::string& value,
               lease_id lease = {}) {
    return apply({key, value, {}, false, false, lease});
  }
  revision remove(const std::string& key) {
    return apply({key, {}, {}, true, false, {}});
  }

  /// Returns the items of `lag` ago under `prefix` whose keys follow `after`.
  kv_read_result list(const std::string& prefix, const std::string& after,
                      duration lag) const {
    const auto& shown = life_at(now_() - lag);
    std::map<std::string, kv_item> items;
    kv_read_result read;
    read.era = shown.era;
    for (const auto& each : shown.history) {
      if (each.at + lag > now_()) {
        break;
      }
      read.at = {shown.era, each.item.changed.number};
      if (each.item.removed) {
        items.erase(each.item.key);
      } else {
        items[each.item.key] = in_era(each.item, shown.era);
      }
    }
    for (const auto& [key, item] : items) {
      if (key.starts_with(prefix) && key > after) {
        if (read.items.size() == page_size) {
          read.more = true;
          break;
        }
        read.items.push_back(item);
      }
    }
    return read;
  }
  /// Returns the present value of an item; empty if there is none.
  std::string value_at(const std::string& key) const {
    const auto read = list(key, {}, duration(0));
    const bool found = !read.items.empty() && read.items[0].key == key;
    return found ? read.items[0].value : std::string();
  }

  kv_watch_result events_after(const std::string& prefix,
                               revision after) const {
    kv_watch_result events{error_kind::none, {}, at_, era()};
    if (after.number < history_start_.number || after.number > at_.number) {
      events.error = error_kind::history_lost;
      return events;
    }
    for (const auto& each : lives_.back().history) {
      if (each.item.changed.number > after.number &&
          each.item.key.starts_with(prefix)) {
        events.items.push_back(in_era(each.item, era()));
      }
    }
    return events;
  }

  /// Fails all waiting watches. New watches after an earlier revision fail with
  /// history_lost.
  void drop_history() {
    history_start_ = at_;
    cut_watches();
  }
  void add_watch(waiting_watch watch) { watches_.push_back(std::move(watch)); }

  /// Replaces all items and leases by those of `age` ago. Revisions and lease
  /// ids that were given out since are given out again.
  void restore(duration age) {
    const auto copied_at = now_() - age;
    life next{store_era(value_of(era()) + 1), now_(), {}};
    for (const auto& each : lives_.back().history) {
      if (each.at <= copied_at) {
        next.history.push_back(each);
      }
    }
    at_ = {next.era, next.history.empty()
                         ? first_revision.number
                         : next.history.back().item.changed.number};
    lives_.push_back(std::move(next));
    std::erase_if(leases_, [&](const granted_lease& each) {
      return each.granted_at > copied_at;
    });
    for (auto& each : leases_) {
      if (each.ended_at && *each.ended_at > copied_at) {
        each.ended_at.reset();
      }
    }
    cut_watches();
  }

  lease_id grant() {
    leases_.push_back({now_(), std::nullopt});
    return lease_id(leases_.size());
  }
  bool has_lease(lease_id id) const {
    const auto number = value_of(id);
    return number > 0 && number <= leases_.size() &&
           !leases_[number - 1].ended_at;
  }
  /// Ends a lease and removes its keys.
  void end(lease_id id) {
    if (!has_lease(id)) {
      return;
    }
    leases_[value_of(id) - 1].ended_at = now_();
    std::vector<std::string> keys;
    for (const auto& item : list({}, {}, duration(0)).items) {
      if (item.lease == id) {
        keys.push_back(item.key);
      }
    }
    for (const auto& key : keys) {
      remove(key);
    }
  }

  revision at() const { return at_; }
  store_era era() const { return lives_.back().era; }

  /// Age of stale reads.
  duration stale_lag{0};
  /// While set, waiting watches do not return changes.
  bool suppress_watches = false;
  std::size_t page_size = 500;

 private:
  static constexpr revision first_revision{store_era(1), 1};

  /// The time from the start or a restore to the next restore.
  struct life {
    store_era era{};
    time_point began;
    std::vector<change> history;
  };
  struct granted_lease {
    time_point granted_at;
    std::optional<time_point> ended_at;
  };

  static kv_item in_era(kv_item item, store_era era) {
    item.changed.era = era;
    return item;
  }

  const life& life_at(time_point when) const {
    const auto next =
        std::find_if(lives_.begin() + 1, lives_.end(),
                     [&](const life& each) { return each.began > when; });
    return *std::prev(next);
  }

  void cut_watches() {
    for (const auto& watch : std::exchange(watches_, {})) {
      watch.answer({error_kind::store_unavailable, {}, {}, {}});
    }
  }

  revision apply(kv_item item) {
    at_ = {era(), at_.number + 1};
    item.changed = at_;
    lives_.back().history.push_back({item, now_()});
    if (!suppress_watches) {
      auto waiting = std::exchange(watches_, {});
      for (auto& watch : waiting) {
        if (item.key.starts_with(watch.prefix)) {
          watch.answer(events_after(watch.prefix, watch.after));
        } else {
          watches_.push_back(std::move(watch));
        }
      }
    }
    return at_;
  }

  time_source now_;
  revision at_ = first_revision;
  revision history_start_{};
  /// The last one is the present life.
  std::vector<life> lives_;
  std::vector<waiting_watch> watches_;
  std::vector<granted_lease> leases_;
};

/// A simulated fault of one client's store calls.
enum class store_fault : std::uint8_t {
  none,
  /// The store answers 503 at once.
  refuses,
  /// The store does not answer; calls time out.
  silent,
  /// Calls take effect, but their answers are lost.
  loses_answers,
};

/// The store client of one process.
class fake_kv_client : public kv_store {
 public:
  fake_kv_client(fake_kv_store& store, scheduler& time)
      : store_(store), time_(time) {}

  void get(const std::string& key, read_freshness freshness,
           callback<kv_read_result> done) override {
    ++(freshness == read_freshness::stale ? stale_calls : calls);
    call<kv_read_result>(std::move(done), [this, key, freshness] {
      auto read = store_.list(key, {}, lag(freshness));
      std::erase_if(read.items,
                    [&](const auto& item) { return item.key != key; });
      read.more = false;
      read.error =
          read.items.empty() ? error_kind::not_found : error_kind::none;
      return read;
    });
  }

  void list(const std::string& prefix, const std::string& after,
            read_freshness freshness, callback<kv_read_result> done) override {
    ++(freshness == read_freshness::stale ? stale_calls : calls);
    call<kv_read_result>(std::move(done), [this, prefix, after, freshness] {
      return store_.list(prefix, after, lag(freshness));
    });
  }

  void watch(const std::string& prefix, revision after, milliseconds wait,
             callback<kv_watch_result> done) override {
    ++calls;
    auto is_answered = std::make_shared<bool>(false);
    const auto answer = [this, is_answered,
                         done](const kv_watch_result& events) {
      if (!std::exchange(*is_answered, true)) {
        reply<kv_watch_result>(done, events);
      }
    };
    if (fail_unreachable<kv_watch_result>(done)) {
      return;
    }
    time_.after(latency, [this, prefix, after, wait, answer] {
      const auto now = store_.events_after(prefix, after);
      if (now.error != error_kind::none || !now.items.empty()) {
        answer(now);
        return;
      }
      store_.add_watch({prefix, after, answer});
      time_.after(wait, [this, prefix, answer] {
        answer({error_kind::none, {}, store_.at(), store_.era()});
      });
    });
  }

  void write(const kv_transaction& transaction,
             callback<kv_write_result> done) override {
    ++calls;
    call<kv_write_result>(std::move(done), [this, transaction] {
      kv_write_result written;
      written.era = store_.era();
      for (const auto& each : transaction.puts) {
        if (each.lease != lease_id{} && !store_.has_lease(each.lease)) {
          return kv_write_result{
              error_kind::not_found, certainty::not_run, {}, store_.era()};
        }
      }
      for (const auto& each : transaction.puts) {
        written.changed = store_.put(each.key, each.value, each.lease);
      }
      for (const auto& key : transaction.deletes) {
        written.changed = store_.remove(key);
      }
      return written;
    });
  }

  void grant_lease(milliseconds time_to_live,
                   callback<kv_lease_result> done) override {
    ++calls;
    call<kv_lease_result>(std::move(done), [this, time_to_live] {
      return kv_lease_result{error_kind::none, store_.grant(), time_to_live,
                             store_.era()};
    });
  }

  void keep_lease(lease_id lease, callback<kv_lease_result> done) override {
    ++stale_calls;
    call<kv_lease_result>(std::move(done), [this, lease] {
      return kv_lease_result{
          store_.has_lease(lease) ? error_kind::none : error_kind::not_found,
          lease, milliseconds(0), store_.era()};
    });
  }

  void end_lease(lease_id lease, callback<kv_lease_result> done) override {
    ++calls;
    call<kv_lease_result>(std::move(done), [this, lease] {
      store_.end(lease);
      return kv_lease_result{error_kind::none, lease, milliseconds(0),
                             store_.era()};
    });
  }

  store_fault fault = store_fault::none;
  duration latency = milliseconds(4);
  /// Number of calls at full cost, and of stale reads and lease renewals, which
  /// cost a tenth.
  int calls = 0;
  int stale_calls = 0;

 private:
  static constexpr milliseconds deadline{1000};

  duration lag(read_freshness freshness) const {
    return freshness == read_freshness::stale ? store_.stale_lag : duration(0);
  }

  template <typename Result>
  static Result failed(error_kind error) {
    Result result;
    result.error = error;
    return result;
  }

  /// If a fault keeps the call from reaching the store, fails it and returns
  /// true.
  template <typename Result>
  bool fail_unreachable(const callback<Result>& done) {
    if (fault == store_fault::refuses) {
      time_.after(latency, [done] {
        done(failed<Result>(error_kind::store_unavailable));
      });
    } else if (fault == store_fault::silent) {
      time_.after(deadline,
                  [done] { done(failed<Result>(error_kind::timed_out)); });
    }
    return fault == store_fault::refuses || fault == store_fault::silent;
  }

  template <typename Result>
  void reply(const callback<Result>& done, const Result& result) {
    if (fault == store_fault::none) {
      time_.after(latency, [done, result] { done(result); });
    } else {
      time_.after(deadline,
                  [done] { done(failed<Result>(error_kind::timed_out)); });
    }
  }

  template <typename Result, typename Execute>
  void call(callback<Result> done, Execute execute) {
    if (fail_unreachable<Result>(done)) {
      return;
    }
    time_.after(latency, [this, done = std::move(done), execute] {
      reply<Result>(done, execute());
    });
  }

  fake_kv_store& store_;
  scheduler& time_;
};

}  // namespace rosemarydrum
