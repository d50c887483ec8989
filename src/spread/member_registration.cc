#include "rosemarydrum/spread/member_registration.h"

#include <algorithm>

#include "rosemarydrum/runtime_clock.h"
#include "rosemarydrum/spread/member_codec.h"

namespace rosemarydrum {
namespace {

constexpr int renewals_per_lease = 3;
constexpr milliseconds initial_retry_delay{200};
constexpr milliseconds max_retry_delay{5000};
/// A lease that cannot be renewed is valid for much longer than this.
constexpr milliseconds renewal_retry_delay{2000};

}  // namespace

struct member_registration::state : std::enable_shared_from_this<state> {
  state(kv_store& source, const item_replica& items, member_record own_record)
      : store(source), replica(items), record(std::move(own_record)) {}

  void tick(time_point now) {
    if (busy || now < next_call || replica.at() == revision{}) {
      return;
    }
    if (lease == lease_id{}) {
      adopt_lease();
    }
    busy = true;
    if (lease == lease_id{}) {
      request_lease();
    } else {
      renew_lease();
    }
  }

  /// Reuses the lease of an earlier run if the stored record is unchanged.
  void adopt_lease() {
    const auto* stored = replica.find(member_key(record.name));
    if (stored != nullptr && !stored->removed && !stored->omitted &&
        decode_member(stored->key, stored->value) == record) {
      lease = stored->lease;
    }
  }

  void renew_lease() {
    store.keep_lease(
        lease, [self = shared_from_this()](const kv_lease_result& renewed) {
          if (renewed.error == error_kind::not_found) {
            self->lease = {};
            self->registered = false;
            self->schedule_next_call(runtime_clock::now());
          } else if (renewed.error == error_kind::none) {
            self->on_success();
          } else {
            self->retry_delay =
                std::max<duration>(self->retry_delay, renewal_retry_delay);
            self->on_failure();
          }
        });
  }

  void request_lease() {
    store.grant_lease(member_lease, [self = shared_from_this()](
                                        const kv_lease_result& granted) {
      if (granted.error == error_kind::none) {
        self->write_record(granted.id);
      } else {
        self->on_failure();
      }
    });
  }

  void write_record(lease_id granted) {
    kv_transaction transaction;
    transaction.puts.push_back(
        {member_key(record.name), encode_member(record), granted});
    store.write(transaction, [self = shared_from_this(),
                              granted](const kv_write_result& written) {
      if (written.error == error_kind::none) {
        self->lease = granted;
        self->has_written = true;
        self->on_success();
      } else {
        self->on_failure();
      }
    });
  }

  void on_success() {
    registered = true;
    retry_delay = initial_retry_delay;
    schedule_next_call(runtime_clock::now() +
                       member_lease / renewals_per_lease);
  }

  void on_failure() {
    schedule_next_call(runtime_clock::now() + retry_delay);
    retry_delay = std::min<duration>(retry_delay * 2, max_retry_delay);
  }

  void schedule_next_call(time_point at) {
    busy = false;
    next_call = at;
  }

  kv_store& store;
  const item_replica& replica;
  member_record record;
  lease_id lease{};
  bool busy = false;
  bool registered = false;
  bool has_written = false;
  duration retry_delay = initial_retry_delay;
  time_point next_call;
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
