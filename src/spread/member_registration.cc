#include "rosemarydrum/spread/member_registration.h"

#include <algorithm>

#include "rosemarydrum/runtime_clock.h"
#include "rosemarydrum/spread/member_codec.h"

namespace rosemarydrum {
namespace {

constexpr int renewals_per_lease = 3;
constexpr milliseconds first_retry{200};
constexpr milliseconds longest_retry{5000};

}  // namespace

struct member_registration::state : std::enable_shared_from_this<state> {
  state(kv_store& used, const item_replica& kept, member_record own)
      : store(used), replica(kept), self(std::move(own)) {}

  void tick(time_point now) {
    if (busy || now < next_call || replica.at() == revision{}) {
      return;
    }
    if (lease == lease_id{}) {
      adopt();
    }
    busy = true;
    if (lease == lease_id{}) {
      grant();
    } else {
      keep();
    }
  }

  /// Takes over the lease of an earlier run in the same place.
  void adopt() {
    const auto* known = replica.find(member_key(self.name));
    if (known != nullptr && !known->removed && !known->omitted &&
        decode_member(known->key, known->value) == self) {
      lease = known->lease;
    }
  }

  void keep() {
    store.keep_lease(lease, [self = shared_from_this()](const kv_lease& kept) {
      if (kept.error == error_kind::not_found) {
        self->lease = {};
        self->registered = false;
        self->retry_at(runtime_clock::now());
      } else if (kept.error == error_kind::none) {
        self->succeed();
      } else {
        self->fail();
      }
    });
  }

  void grant() {
    store.grant_lease(member_lease,
                      [self = shared_from_this()](const kv_lease& granted) {
                        if (granted.error == error_kind::none) {
                          self->put(granted.id);
                        } else {
                          self->fail();
                        }
                      });
  }

  void put(lease_id granted) {
    kv_transaction wanted;
    wanted.puts.push_back(
        {member_key(self.name), encode_member(self), granted});
    store.write(wanted,
                [me = shared_from_this(), granted](const kv_written& written) {
                  if (written.error == error_kind::none) {
                    me->lease = granted;
                    me->has_written = true;
                    me->succeed();
                  } else {
                    me->fail();
                  }
                });
  }

  void succeed() {
    registered = true;
    retry = first_retry;
    retry_at(runtime_clock::now() + member_lease / renewals_per_lease);
  }

  void fail() {
    retry_at(runtime_clock::now() + retry);
    retry = std::min<duration>(retry * 2, longest_retry);
  }

  void retry_at(time_point when) {
    busy = false;
    next_call = when;
  }

  kv_store& store;
  const item_replica& replica;
  member_record self;
  lease_id lease{};
  bool busy = false;
  bool registered = false;
  bool has_written = false;
  duration retry = first_retry;
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
