#include "rosemarydrum/store/value_reader.h"

#include <algorithm>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

/// After this many consecutive failed attempts, reads are linearizable instead
/// of stale.
constexpr int max_stale_attempts = 2;
constexpr milliseconds initial_retry_delay{150};
constexpr milliseconds max_retry_delay{1200};
/// Pause after a read, so that versions in quick succession share one read.
constexpr milliseconds read_pause{150};

}  // namespace

struct value_reader::state : std::enable_shared_from_this<state> {
  state(kv_store& source, const item_replica& target, receiver handler)
      : store(source), replica(target), callback(std::move(handler)) {}

  void tick(time_point now) {
    if (busy || now < next_call) {
      return;
    }
    // The store has lost values of an earlier era; members may have them.
    auto missing = replica.missing();
    std::erase_if(missing, [this](const auto& each) {
      return each.second.era != replica.at().era;
    });
    if (missing.empty()) {
      failures = 0;
      return;
    }
    busy = true;
    const auto& [key, announced] = missing.front();
    store.get(
        key,
        failures < max_stale_attempts ? read_freshness::stale
                                      : read_freshness::linearizable,
        [self = shared_from_this(), min_revision = announced](
            const kv_read_result& read) { self->on_read(min_revision, read); });
  }

  void on_read(revision min_revision, const kv_read_result& read) {
    busy = false;
    const auto now = runtime_clock::now();
    const bool is_sufficient = read.error == error_kind::none &&
                               !read.items.empty() &&
                               read.era == min_revision.era &&
                               read.items.front().changed >= min_revision;
    if (is_sufficient) {
      failures = 0;
      next_call = now + read_pause;
      // Covers one item only, and so leaves the replica's revision as it is.
      callback({read.items, false, replica.at(), replica.at()});
      return;
    }
    const auto shift = std::min(failures, 3);
    ++failures;
    next_call = now + std::min<duration>(initial_retry_delay * (1 << shift),
                                         max_retry_delay);
  }

  kv_store& store;
  const item_replica& replica;
  receiver callback;
  bool busy = false;
  int failures = 0;
  time_point next_call;
};

value_reader::value_reader(kv_store& store, const item_replica& replica,
                           receiver callback)
    : state_(std::make_shared<state>(store, replica, std::move(callback))) {}

value_reader::~value_reader() = default;

void value_reader::tick(time_point now) { state_->tick(now); }

int value_reader::failures() const { return state_->failures; }

}  // namespace rosemarydrum
