#include "rosemarydrum/store/store_follower.h"

#include <algorithm>
#include <utility>

#include "rosemarydrum/runtime_clock.h"
#include "stale_listing.h"

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
/// A watch with fewer changes than this has returned all of them.
constexpr std::size_t max_complete_changes = 400;

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
    const bool follows = mode == follow_mode::follow;
    if (!std::exchange(was_following, follows) && follows) {
      // The first watch returns what this process has missed.
      next_relist = std::max(next_relist, now + settings.relist_interval);
    }
    const bool is_empty = replica.at() == revision{};
    if (is_empty && may_list_stale) {
      list_stale();
    } else if (is_empty || (mode != follow_mode::idle && must_relist)) {
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

  // Nearly all of a large store is as it was seconds ago, so that a stale list
  // and the changes since cost less than a list of all items as they are now.
  void list_stale() {
    busy = true;
    initial = {};
    list_stale_page({});
  }

  void list_stale_page(const std::string& after) {
    store.list({}, after, read_freshness::stale,
               [self = shared_from_this()](const kv_read_result& page) {
                 self->on_stale_page(page);
               });
  }

  void on_stale_page(const kv_read_result& page) {
    if (page.error != error_kind::none) {
      on_failure(page.error);
      return;
    }
    if (!initial.add_page(page)) {
      // The store was restored between two pages.
      may_list_stale = false;
      list_all(runtime_clock::now());
      return;
    }
    if (page.more && !page.items.empty()) {
      list_stale_page(page.items.back().key);
      return;
    }
    if (initial.start() == revision{}) {
      // A page without items has no age, as when all processes start with an
      // empty store.
      may_list_stale = false;
      list_all(runtime_clock::now());
      return;
    }
    as_of = runtime_clock::now();
    store.watch({}, initial.start(), check_wait,
                [self = shared_from_this()](const kv_watch_result& changes) {
                  self->on_changes_since_stale_list(changes);
                });
  }

  void on_changes_since_stale_list(const kv_watch_result& changes) {
    const bool is_complete =
        changes.error == error_kind::none &&
        changes.era == initial.start().era &&
        changes.items.size() < max_complete_changes &&
        (!changes.items.empty() || changes.at == initial.start());
    if (!is_complete) {
      may_list_stale = false;
      list_all(runtime_clock::now());
      return;
    }
    next_relist = runtime_clock::now() + settings.relist_interval;
    const auto listing = std::exchange(initial, {}).complete(changes);
    finish(listing);
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
    if (page.era < replica.at().era) {
      // The answer is from before a restore.
      on_failure(error_kind::store_unavailable);
      return;
    }
    if (page.era != listed.at.era) {
      // The store was restored between two pages.
      list_all(runtime_clock::now());
      return;
    }
    listed.items.insert(listed.items.end(), page.items.begin(),
                        page.items.end());
    if (page.more && !page.items.empty()) {
      list(page.items.back().key);
      return;
    }
    must_relist = false;
    next_relist = runtime_clock::now() + settings.relist_interval;
    mark_restored();
    if (listed.at < replica.at()) {
      // A store that does not state its era was restored.
      next_call = runtime_clock::now() + max_retry_delay;
    }
    finish(listed);
  }

  // Changes after the first page are not older than the restore.
  void mark_restored() {
    if (replica.at() == revision{} || replica.at().era == listed.at.era) {
      return;
    }
    for (auto& item : listed.items) {
      item.restored = item.changed <= listed.at;
    }
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
    const bool answers = events.error == error_kind::none ||
                         events.error == error_kind::history_lost;
    if (!answers || events.era < after.era) {
      on_failure(answers ? error_kind::store_unavailable : events.error);
      return;
    }
    // The watch covers all keys, so that a later revision without items means
    // that changes were left out.
    const bool skips_changes = events.items.empty() && events.at > after;
    if (events.error == error_kind::history_lost || events.era != after.era ||
        skips_changes) {
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
  bool was_following = false;
  /// False if the changes since a stale list were not available.
  bool may_list_stale = true;
  int failures = 0;
  /// The pending call's answer includes all changes up to this time.
  time_point as_of;
  time_point next_call;
  time_point next_relist;
  item_listing listed;
  detail::stale_listing initial;
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
