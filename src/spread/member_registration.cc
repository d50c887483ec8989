#include "rosemarydrum/spread/member_registration.h"

#include <algorithm>
#include <optional>

#include "rosemarydrum/runtime_clock.h"
#include "rosemarydrum/spread/member_codec.h"

namespace rosemarydrum {
namespace {

constexpr int renewals_per_lease = 3;
constexpr milliseconds initial_retry_delay{200};
constexpr milliseconds max_retry_delay{5000};
/// A lease that cannot be renewed is valid for much longer than this.
constexpr milliseconds renewal_retry_delay{2000};

bool answers(error_kind error) {
  return error == error_kind::none || error == error_kind::not_found;
}

}  // namespace

struct member_registration::state : std::enable_shared_from_this<state> {
  state(kv_store& source, const item_replica& items, member_record own_record)
      : store(source), replica(items), record(std::move(own_record)) {}

  void tick(time_point now) {
    if (busy || replica.at() == revision{}) {
      return;
    }
    if (!era) {
      adopt_known_record();
    }
    const bool must_check = *era < replica.at().era;
    if (now < (must_check || is_removed() ? next_attempt : next_call)) {
      return;
    }
    busy = true;
    if (must_check) {
      read_record();
    } else if (lease == lease_id{} || is_removed()) {
      request_lease();
    } else {
      renew_lease();
    }
  }

  /// Reuses the lease of an earlier run if the stored record is unchanged.
  void adopt_known_record() {
    era = replica.at().era;
    const auto* stored = replica.find(member_key(record.name));
    if (stored != nullptr && !replica.is_kept(stored->key)) {
      adopt(*stored);
    }
  }

  void adopt(const kv_item& stored) {
    if (!stored.removed && !stored.omitted &&
        decode_member(stored.key, stored.value) == record) {
      lease = stored.lease;
      written_at = stored.changed;
    }
  }

  /// Whether the record was removed although its lease has not ended.
  bool is_removed() const {
    const auto* stored = replica.find(member_key(record.name));
    return registered && stored != nullptr && stored->removed &&
           stored->changed > written_at;
  }

  /// A restored store may have lost the record, or have granted the lease's
  /// number to another member.
  void read_record() {
    store.get(member_key(record.name), read_freshness::linearizable,
              [self = shared_from_this()](const kv_read_result& read) {
                self->on_record(read);
              });
  }

  void on_record(const kv_read_result& read) {
    if (!answers(read.error) || read.era <= *era) {
      on_failure();
      return;
    }
    forget_lease(read.era);
    if (!read.items.empty()) {
      adopt(read.items.front());
    }
    schedule_next_call(runtime_clock::now());
  }

  void forget_lease(store_era now_in) {
    era = now_in;
    lease = {};
    registered = false;
  }

  void renew_lease() {
    store.keep_lease(
        lease, [self = shared_from_this()](const kv_lease_result& renewed) {
          self->on_renewed(renewed);
        });
  }

  void on_renewed(const kv_lease_result& renewed) {
    if (answers(renewed.error) && renewed.era != *era) {
      // The replica will show the new era, and then the record is read.
      on_failure();
    } else if (renewed.error == error_kind::not_found) {
      forget_lease(*era);
      schedule_next_call(runtime_clock::now());
    } else if (renewed.error == error_kind::none) {
      on_success();
    } else {
      retry_delay = std::max<duration>(retry_delay, renewal_retry_delay);
      on_failure();
    }
  }

  void request_lease() {
    store.grant_lease(member_lease, [self = shared_from_this()](
                                        const kv_lease_result& granted) {
      if (granted.error == error_kind::none && granted.era >= *self->era) {
        self->write_record(granted);
      } else {
        self->on_failure();
      }
    });
  }

  void write_record(const kv_lease_result& granted) {
    kv_transaction transaction;
    transaction.puts.push_back(
        {member_key(record.name), encode_member(record), granted.id});
    store.write(transaction, [self = shared_from_this(),
                              granted](const kv_write_result& written) {
      self->on_written(granted, written);
    });
  }

  void on_written(const kv_lease_result& granted,
                  const kv_write_result& written) {
    if (written.error != error_kind::none) {
      on_failure();
      return;
    }
    has_written = true;
    forget_lease(written.era);
    written_at = written.changed;
    if (written.era == granted.era) {
      lease = granted.id;
      on_success();
    } else {
      // The store was restored in between: the lease may be another member's.
      on_failure();
    }
  }

  void on_success() {
    registered = true;
    retry_delay = initial_retry_delay;
    schedule_next_call(runtime_clock::now() +
                       member_lease / renewals_per_lease);
  }

  void on_failure() {
    next_attempt = runtime_clock::now() + retry_delay;
    schedule_next_call(next_attempt);
    retry_delay = std::min<duration>(retry_delay * 2, max_retry_delay);
  }

  void schedule_next_call(time_point at) {
    busy = false;
    next_call = at;
  }

  kv_store& store;
  const item_replica& replica;
  member_record record;
  /// The era of the store in which `lease` is this member's; nullopt before the
  /// replica is known.
  std::optional<store_era> era;
  lease_id lease{};
  /// Revision of the record.
  revision written_at{};
  bool busy = false;
  bool registered = false;
  bool has_written = false;
  duration retry_delay = initial_retry_delay;
  /// When the next renewal or retry is due.
  time_point next_call;
  /// No call is made before, after a failure.
  time_point next_attempt;
};

member_registration::member_registration(kv_store& store,
                                         const item_replica& replica,
                                         member_record self)
    : state_(std::make_shared<state>(store, replica, std::move(self))) {}

member_registration::~member_registration() = default;

void member_registration::tick(time_point now) { state_->tick(now); }

bool member_registration::has_written() const { return state_->has_written; }

bool member_registration::is_registered() const { return state_->registered; }

}  // namespace rosemarydrum
