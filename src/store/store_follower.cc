#include "rosemarydrum/store/store_follower.h"

#include <algorithm>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds initial_retry_delay{100};
constexpr milliseconds max_retry_delay{1000};
/// Pause after changes, so that changes in quick succession share one call.
constexpr milliseconds watch_pause{50};
/// Wait of a watch that confirms the replica and returns at once.
constexpr milliseconds check_wait{1};
/// Assumed upper bound of the time from the store's sending of a watch answer
/// to its arrival.
constexpr milliseconds max_transit_time{200};

}  // namespace

struct store_follower::state : std::enable_shared_from_this<state> {
  state(kv_store& source, const item_replica& target,
        store_follower_settings options, receiver handlers)
      : store(source),
        replica(target),
        settings(options),
        callbacks(std::move(handlers)) {}

  void tick(follow_mode mode, time_point now) {
    if (busy || now < next_call) {
      return;
    }
    const bool is_empty = replica.at() == revision{};
    if (is_empty || (mode != follow_mode::idle && must_relist)) {
      list_all(now);
    } else if (mode == follow_mode::check) {
      watch(check_wait, now);
    } else if (mode == follow_mode::follow) {
      if (now >= next_relist) {
        list_all(now);
      } else {
        // After a pause the first watch returns at once, to confirm the replica
        // soon.
        const bool is_outdated =
            now - replica.confirmed_at() > settings.watch_wait * 2;
        watch(is_outdated ? check_wait : settings.watch_wait, now);
      }
    }
  }

  void list_all(time_point now) {
    busy = true;
    as_of = now;
    listed = {};
    listed.complete = true;
    list({});
  }

  void list(const std::string& after) {
    store.list({}, after, read_freshness::linearizable,
               [self = shared_from_this()](const kv_read_result& read) {
                 self->on_page(read);
               });
  }

  void on_page(const kv_read_result& page) {
    if (page.error != error_kind::none) {
      on_failure(page.error);
      return;
    }
    // Pages are not a snapshot. Changes between them come after the first
    // page's revision, so that the next watch returns them.
    if (listed.at == revision{}) {
      listed.at = page.at;
    }
    listed.items.insert(listed.items.end(), page.items.begin(),
                        page.items.end());
    if (page.more && !page.items.empty()) {
      list(page.items.back().key);
      return;
    }
    must_relist = false;
    next_relist = runtime_clock::now() + settings.relist_interval;
    finish(listed);
  }

  void watch(milliseconds wait, time_point now) {
    busy = true;
    as_of = now;
    const auto after = replica.at();
    store.watch(
        {}, after, wait,
        [self = shared_from_this(), after](const kv_watch_result& events) {
          self->on_events(after, events);
        });
  }

  void on_events(revision after, const kv_watch_result& events) {
    if (events.error == error_kind::history_lost) {
      must_relist = true;
      busy = false;
      tick(follow_mode::follow, runtime_clock::now());
      return;
    }
    if (events.error != error_kind::none) {
      on_failure(events.error);
      return;
    }
    if (events.items.empty() && events.at > after) {
      // The watch covers all keys, so that a later revision without items means
      // that changes were left out.
      must_relist = true;
      busy = false;
      tick(follow_mode::follow, runtime_clock::now());
      return;
    }
    if (!events.items.empty()) {
      next_call = runtime_clock::now() + watch_pause;
    }
    // The answer includes all changes up to the time when the store sent it.
    as_of = std::max(as_of, runtime_clock::now() - max_transit_time);
    finish({events.items, false, after, std::max(after, events.at)});
  }

  void finish(const item_listing& answer) {
    busy = false;
    failures = 0;
    callbacks.on_answer(answer, as_of);
  }

  void on_failure(error_kind error) {
    busy = false;
    const auto shift = std::min(failures, 4);
    ++failures;
    next_call =
        runtime_clock::now() +
        std::min<duration>(initial_retry_delay * (1 << shift), max_retry_delay);
    callbacks.on_failure(error);
  }

  kv_store& store;
  const item_replica& replica;
  store_follower_settings settings;
  receiver callbacks;
  bool busy = false;
  bool must_relist = false;
  int failures = 0;
  /// The pending call's answer includes all changes up to this time.
  time_point as_of;
  time_point next_call;
  time_point next_relist;
  item_listing listed;
};

store_follower::store_follower(kv_store& store, const item_replica& replica,
                               store_follower_settings settings,
                               receiver callbacks)
    : state_(std::make_shared<state>(store, replica, settings,
                                     std::move(callbacks))) {}

store_follower::~store_follower() = default;

void store_follower::tick(follow_mode mode, time_point now) {
  state_->tick(mode, now);
}

int store_follower::failures() const { return state_->failures; }

}  // namespace rosemarydrum
