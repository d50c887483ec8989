#pragma once

#include <memory>

#include "rosemarydrum/spread/member_record.h"
#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Lease of a member's key, renewed three times within its duration. It is
/// longer than a restart, so that a restarted process need not write again.
inline constexpr seconds member_lease{60};

/// Keeps this process's record in the store, where other members find it.
class member_registration {
 public:
  member_registration(kv_store& store, const item_replica& replica,
                      member_record self);
  ~member_registration();

  /// Starts the call that is due. Does nothing until the replica holds the
  /// store's items.
  void tick(time_point now);
  /// Whether this run has written the record, rather than only renewed its
  /// lease.
  bool has_written() const;
  bool is_registered() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace rosemarydrum
