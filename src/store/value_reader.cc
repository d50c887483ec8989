#include "rosemarydrum/store/value_reader.h"

#include <algorithm>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

/// Stale answers in a row after which the read is linearizable.
constexpr int stale_attempts = 2;
constexpr milliseconds first_retry{150};
constexpr milliseconds longest_retry{1200};
/// Between two reads, so that a quick succession of versions costs few.
constexpr milliseconds pause{150};

}  // namespace

struct value_reader::state : std::enable_shared_from_this<state> {
  state(kv_store& used, const item_replica& kept, receiver told)
      : store(used), replica(kept), to(std::move(told)) {}

  void tick(time_point now) {
    if (busy || now < next_call) {
      return;
    }
    const auto missing = replica.missing();
    if (missing.empty()) {
      failures = 0;
      return;
    }
    busy = true;
    const auto& [key, wanted] = missing.front();
    store.get(key,
              failures < stale_attempts ? read_freshness::stale
                                        : read_freshness::linearizable,
              [self = shared_from_this(), least = wanted](const kv_read& read) {
                self->on_read(least, read);
              });
  }

  void on_read(revision least, const kv_read& read) {
    busy = false;
    const auto now = runtime_clock::now();
    const bool is_new = read.error == error_kind::none && !read.items.empty() &&
                        read.items.front().changed >= least;
    if (is_new) {
      failures = 0;
      next_call = now + pause;
      // Tells of one item only, so that it raises no revision.
      to({read.items, false, replica.at(), replica.at()});
      return;
    }
    const auto shift = std::min(failures, 3);
    ++failures;
    next_call =
        now + std::min<duration>(first_retry * (1 << shift), longest_retry);
  }

  kv_store& store;
  const item_replica& replica;
  receiver to;
  bool busy = false;
  int failures = 0;
  time_point next_call;
};

value_reader::value_reader(kv_store& store, const item_replica& replica,
                           receiver to)
    : state_(std::make_shared<state>(store, replica, std::move(to))) {}

value_reader::~value_reader() = default;

void value_reader::tick(time_point now) { state_->tick(now); }

int value_reader::failures() const { return state_->failures; }

}  // namespace rosemarydrum
