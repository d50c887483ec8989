#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class lease_id : std::uint64_t {};

struct kv_item {
  std::string key;
  std::string value;
  /// Revision of its last write or of its removal.
  revision changed{};
  bool removed = false;
  /// The value is left out and must be read from the store. Only set in
  /// messages between members.
  bool omitted = false;
  /// The item is removed when this lease ends; 0: none. Only set by the store.
  lease_id lease{};
  /// Read when the store was first read after a restore, or by a process that
  /// had just started: the store may have lost a later version, which is not
  /// written again yet. Not set by the store.
  bool restored = false;
  /// Time since the removal, if the sender knows it. Only set in messages
  /// between members.
  std::optional<milliseconds> removed_for{};

  friend bool operator==(const kv_item&, const kv_item&) = default;
};

/// Result of a read. `error` is none, not_found, store_unavailable or
/// timed_out.
struct kv_read_result {
  error_kind error = error_kind::none;
  std::vector<kv_item> items;
  /// The store's revision when it answered.
  revision at{};
  /// More items follow the last key.
  bool more = false;
  /// Era of the store when it answered; 0 if there was no answer.
  store_era era{};
};

/// Result of a watch. `error` may also be history_lost: the store has dropped
/// changes after the requested revision.
struct kv_watch_result {
  error_kind error = error_kind::none;
  std::vector<kv_item> items;
  /// The revision after which the next watch continues.
  revision at{};
  /// Era of the store when it answered; 0 if there was no answer.
  store_era era{};
};

struct kv_lease_result {
  error_kind error = error_kind::none;
  lease_id id{};
  milliseconds time_to_live{0};
  /// Era of the store when it answered; 0 if there was no answer.
  store_era era{};
};

struct kv_precondition {
  std::string key;
  /// 0: the key does not exist.
  revision changed{};
};

struct kv_put {
  std::string key;
  std::string value;
  lease_id lease{};
};

/// Executed atomically, if all preconditions hold.
struct kv_transaction {
  std::vector<kv_precondition> expected;
  std::vector<kv_put> puts;
  std::vector<std::string> deletes;
};

struct kv_write_result {
  /// One of none, conflict, not_found (the lease), store_unavailable or
  /// timed_out.
  error_kind error = error_kind::none;
  /// Whether a failed write may have taken effect, or still may.
  certainty outcome = certainty::not_applicable;
  revision changed{};
  /// Era of the store when it answered; 0 if there was no answer.
  store_era era{};
};

enum class read_freshness : std::uint8_t {
  linearizable,
  /// Costs less; the result may be seconds old.
  stale,
};

/// The platform's key-value store. Each call invokes its callback exactly once,
/// asynchronously on the calling thread, and has its own deadline.
class kv_store {
 public:
  template <typename Result>
  using callback = std::function<void(const Result&)>;

  kv_store() = default;
  kv_store(const kv_store&) = delete;
  kv_store& operator=(const kv_store&) = delete;
  virtual ~kv_store() = default;

  /// Reads the item of `key`; fails with not_found if there is none.
  virtual void get(const std::string& key, read_freshness freshness,
                   callback<kv_read_result> done) = 0;
  /// Reads a page of the items under `prefix` whose keys follow `after`.
  virtual void list(const std::string& prefix, const std::string& after,
                    read_freshness freshness,
                    callback<kv_read_result> done) = 0;
  /// Returns the changes under `prefix` after the revision `after`, as soon as
  /// there are any, or none after `wait`.
  virtual void watch(const std::string& prefix, revision after,
                     milliseconds wait, callback<kv_watch_result> done) = 0;
  virtual void write(const kv_transaction& transaction,
                     callback<kv_write_result> done) = 0;
  virtual void grant_lease(milliseconds time_to_live,
                           callback<kv_lease_result> done) = 0;
  /// Renews a lease; fails with not_found if it has ended.
  virtual void keep_lease(lease_id lease, callback<kv_lease_result> done) = 0;
  virtual void end_lease(lease_id lease, callback<kv_lease_result> done) = 0;
};

}  // namespace rosemarydrum
