#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

enum class lease_id : std::uint64_t {};

struct kv_item {
  std::string key;
  std::string value;
  /// Revision of its last change or of its removal.
  revision changed{};
  bool removed = false;
  /// The value is not given here and must be read; never set by the store.
  bool omitted = false;
  /// The lease that it ends with; 0: none. Only in answers of the store.
  lease_id lease{};

  friend bool operator==(const kv_item&, const kv_item&) = default;
};

/// `error` is none, not_found, store_unavailable or timed_out.
struct kv_read {
  error_kind error = error_kind::none;
  std::vector<kv_item> items;
  /// The store's revision when it answered.
  revision at{};
  /// Further items follow the last key.
  bool more = false;
};

/// `error` may also be history_lost: the store no longer knows what changed
/// since the revision asked for.
struct kv_events {
  error_kind error = error_kind::none;
  std::vector<kv_item> items;
  /// The revision to go on from.
  revision at{};
};

struct kv_lease {
  error_kind error = error_kind::none;
  lease_id id{};
  milliseconds time_to_live{0};
};

struct kv_expectation {
  std::string key;
  /// 0: the key does not exist.
  revision changed{};
};

struct kv_put {
  std::string key;
  std::string value;
  lease_id lease{};
};

/// Done as a whole or not at all.
struct kv_transaction {
  std::vector<kv_expectation> expected;
  std::vector<kv_put> puts;
  std::vector<std::string> deletes;
};

struct kv_written {
  /// none, conflict, not_found (the lease), store_unavailable or timed_out.
  error_kind error = error_kind::none;
  /// Whether a write that failed may be in force, now or later.
  certainty outcome = certainty::not_applicable;
  revision changed{};
};

enum class read_freshness : std::uint8_t {
  linearizable,
  /// Cheaper, and may be seconds old.
  stale,
};

/// The platform's key-value store. Each call answers once, later and on the
/// caller's thread, and has a deadline of its own.
class kv_store {
 public:
  template <typename Result>
  using callback = std::function<void(const Result&)>;

  kv_store() = default;
  kv_store(const kv_store&) = delete;
  kv_store& operator=(const kv_store&) = delete;
  virtual ~kv_store() = default;

  /// The item of `key`; not_found without one.
  virtual void get(const std::string& key, read_freshness freshness,
                   callback<kv_read> done) = 0;
  /// A page of the items under `prefix` whose keys follow `after`.
  virtual void list(const std::string& prefix, const std::string& after,
                    read_freshness freshness, callback<kv_read> done) = 0;
  /// Answers with the changes under `prefix` after the revision `after`, as
  /// soon as there are any, or without any after `wait`.
  virtual void watch(const std::string& prefix, revision after,
                     milliseconds wait, callback<kv_events> done) = 0;
  virtual void write(const kv_transaction& wanted,
                     callback<kv_written> done) = 0;
  virtual void grant_lease(milliseconds time_to_live,
                           callback<kv_lease> done) = 0;
  /// not_found if the lease has ended.
  virtual void keep_lease(lease_id lease, callback<kv_lease> done) = 0;
  virtual void end_lease(lease_id lease, callback<kv_lease> done) = 0;
};

}  // namespace rosemarydrum
