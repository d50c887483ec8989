#pragma once

#include <memory>

#include "rosemarydrum/spread/member_record.h"
#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Lease of a member's key, renewed three times within it. It outlives a
/// restart, so that a process that starts again in place needs no write.
inline constexpr seconds member_lease{60};

/// Keeps this process's record in the store, so that the others find it.
class member_registration {
 public:
  member_registration(kv_store& store, const item_replica& replica,
                      member_record self);
  ~member_registration();

  /// Starts the call that is due, once the replica holds the store's items.
  void tick(time_point now);
  /// The record has been written by this run, and not only renewed.
  bool has_written() const;
  bool is_registered() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace rosemarydrum
