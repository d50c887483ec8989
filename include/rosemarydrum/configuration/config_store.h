#pragma once

#include <functional>
#include <string>
#include <vector>

#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// `error` is none, not_found, store_unavailable, timed_out or bad_document.
struct store_read_result {
  error_kind error = error_kind::none;
  document value;
};

/// The latest versions of all documents that changed after revision `after` and
/// up to `last`, ordered by revision.
struct store_listing {
  error_kind error = error_kind::none;
  revision after{};
  revision last{};
  std::vector<document> documents;
};

struct store_write {
  std::string key;
  /// Empty text deletes the document.
  std::string text;
  /// Revision of the last change or deletion; 0: never written.
  revision expected{};
  /// Id of the change, for the store's log; it is also in `text`.
  std::string operation;
};

struct store_write_result {
  /// none, conflict, store_unavailable, timed_out or bad_document.
  error_kind error = error_kind::none;
  /// not_run: not in force and never will be. unknown: it may be in force or
  /// may still come into force. not_applicable: no error.
  certainty outcome = certainty::not_applicable;
  revision changed{};
};

enum class watch_id : std::uint64_t {};

/// The platform's key-value store. Each call invokes its callback once,
/// asynchronously and on the caller's thread. Reads may be stale.
class config_store {
 public:
  template <typename Result>
  using callback = std::function<void(const Result&)>;

  config_store() = default;
  config_store(const config_store&) = delete;
  config_store& operator=(const config_store&) = delete;
  virtual ~config_store() = default;

  /// A deleted document has empty text; not_found if never written.
  virtual void get(const std::string& key,
                   callback<store_read_result> done) = 0;
  virtual void list(const std::string& prefix, revision after,
                    callback<store_listing> done) = 0;
  /// Writes if the document's revision is still `expected`.
  virtual void compare_and_swap(const store_write& write,
                                callback<store_write_result> done) = 0;

  /// Calls `on_change` with each change after `after`, with an empty listing
  /// about once a second while nothing changes, and with an error for each
  /// failed attempt, until `end_watch`.
  virtual watch_id watch(const std::string& prefix, revision after,
                         callback<store_listing> on_change) = 0;
  virtual void end_watch(watch_id id) = 0;
};

}  // namespace rosemarydrum
