#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "command/result.h"
#include "rosemarydrum/configuration/config_codec.h"
#include "rosemarydrum/configuration/configuration.h"

namespace rosemarydrum {

/// Blocking interface of the configuration store. Errors are
/// store_unavailable and timed_out, for writes also conflict and bad_document.
class store_access {
 public:
  virtual ~store_access() = default;

  /// Returns all documents whose key starts with `prefix`, except deleted ones.
  virtual result<std::vector<document>> list(std::string_view prefix) = 0;
  /// Returns empty text if the document was never written (revision 0) or is
  /// deleted.
  virtual result<document> get(const std::string& key) = 0;

  /// Replaces a service or data centre if its document is still at revision
  /// `expected`, after validation against all documents.
  virtual result<revision> edit(const std::string& key,
                                const document_value& value, revision expected,
                                const std::string& operation) = 0;
  /// Replaces a document that balancers do not read. `text` contains
  /// `operation`, which identifies a write whose answer was lost. Empty text
  /// deletes the document.
  virtual result<revision> write(const std::string& key,
                                 const std::string& text, revision expected,
                                 const std::string& operation) = 0;
};

}  // namespace rosemarydrum
