#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rosemarydrum/configuration/config_codec.h"
#include "rosemarydrum/configuration/config_store.h"

namespace rosemarydrum {

struct edit_settings {
  /// An edit that has not succeeded within this time ends with its last error.
  milliseconds deadline{10'000};
  milliseconds first_retry{100};
  milliseconds longest_retry{1000};
};

/// One change of one document.
struct edit {
  std::string key;
  /// Unique id of 1 to 64 bytes. An edit with the id of one that is already
  /// in force changes nothing and succeeds.
  std::string operation;
  /// If set, the edit fails with `conflict` unless the document still has this
  /// revision.
  std::optional<revision> expected;
  /// Changes `value` (monostate: no document) or returns an error, which ends
  /// the edit. `current` holds all documents that decode.
  std::function<error_kind(const configuration& current, document_value& value)>
      change;
};

struct edit_result {
  /// none: the change is in force. conflict: the document was changed by
  /// another edit.
  error_kind error = error_kind::none;
  /// Whether a failed edit may be in force; see store_write_result.
  certainty outcome = certainty::not_applicable;
  /// A revision of the document that includes the change.
  revision changed{};
  /// With bad_document: the problems that the change would cause.
  std::vector<field_error> problems;
};

/// Changes documents by read, modify and compare-and-swap. Retries reads, and
/// writes with the same expected revision, of which the store performs at most
/// one. After a lost answer it reads the document back and looks for its
/// operation id.
class config_editor {
 public:
  using callback = std::function<void(const edit_result&)>;

  /// `store` must outlive the editor.
  explicit config_editor(config_store& store, edit_settings settings = {});
  ~config_editor();

  /// Starts an edit. Only one may run at a time.
  void start(edit requested, time_point now, callback done);
  /// Performs due retries and enforces the deadline; call at least every
  /// 100 ms.
  void tick(time_point now);
  bool busy() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace rosemarydrum
