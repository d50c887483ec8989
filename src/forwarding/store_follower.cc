#include "rosemarydrum/forwarding/store_follower.h"

#include <algorithm>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

/// Bounds the age of what is known while nothing changes.
constexpr milliseconds watch_wait{1000};
constexpr milliseconds first_retry{100};
constexpr milliseconds longest_retry{1000};

}  // namespace

struct store_follower::state : std::enable_shared_from_this<state> {
  state(kv_store& used, const fleet_schema& read, receiver to)
      : store(used), schema(read), on_news(std::move(to)) {}

  void tick(time_point now) {
    if (busy || now < next_call) {
      return;
    }
    busy = true;
    asked = now;
    if (listed) {
      watch();
    } else {
      news = {};
      news.complete = true;
      list({});
    }
  }

  void list(const std::string& after) {
    store.list({}, after, read_freshness::linearizable,
               [self = shared_from_this()](const kv_read& read) {
                 self->on_page(read);
               });
  }

  void on_page(const kv_read& page) {
    if (page.error != error_kind::none) {
      on_failure();
      return;
    }
    // Pages are not a snapshot. What changes between them is in the events
    // after the first page's revision.
    if (news.at == revision{}) {
      news.at = page.at;
    }
    decode(page.items);
    if (page.more && !page.items.empty()) {
      list(page.items.back().key);
      return;
    }
    listed = true;
    finish();
  }

  void watch() {
    store.watch({}, at, watch_wait,
                [self = shared_from_this()](const kv_events& events) {
                  self->on_events(events);
                });
  }

  void on_events(const kv_events& events) {
    if (events.error == error_kind::history_lost) {
      listed = false;
    }
    if (events.error != error_kind::none) {
      on_failure();
      return;
    }
    news = {};
    news.after = at;
    news.at = std::max(at, events.at);
    decode(events.items);
    finish();
  }

  void decode(const std::vector<kv_item>& items) {
    for (const auto& item : items) {
      if (auto change = schema.decode(item)) {
        news.changes.push_back(std::move(*change));
      }
    }
  }

  void finish() {
    at = news.at;
    busy = false;
    failures = 0;
    on_news(std::move(news), asked);
    tick(runtime_clock::now());
  }

  void on_failure() {
    busy = false;
    const auto shift = std::min(failures, 4);
    ++failures;
    next_call = runtime_clock::now() +
                std::min<duration>(first_retry * (1 << shift), longest_retry);
  }

  kv_store& store;
  const fleet_schema& schema;
  receiver on_news;
  bool busy = false;
  bool listed = false;
  int failures = 0;
  revision at{};
  time_point asked;
  time_point next_call;
  fleet_news news;
};

store_follower::store_follower(kv_store& store, const fleet_schema& schema,
                               receiver on_news)
    : state_(std::make_shared<state>(store, schema, std::move(on_news))) {}

store_follower::~store_follower() = default;

void store_follower::tick(time_point now) { state_->tick(now); }

bool store_follower::is_failing() const { return state_->failures > 0; }

}  // namespace rosemarydrum
