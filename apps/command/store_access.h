#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "command/result.h"
#include "rosemarydrum/configuration/config_codec.h"
#include "rosemarydrum/configuration/configuration.h"

namespace rosemarydrum {

/// The configuration store as the subcommands use it. Errors are
/// store_unavailable and timed_out, for writes also conflict and bad_document.
class store_access {
 public:
  virtual ~store_access() = default;

  /// All documents that are not deleted.
  virtual result<std::vector<document>> list(std::string_view prefix) = 0;
  /// Empty text: never written (revision 0) or deleted.
  virtual result<document> get(const std::string& key) = 0;

  /// Replaces a service or data centre if the revision of its document still
  /// is `expected`, after the checks among all documents.
  virtual result<revision> edit(const std::string& key,
                                const document_value& value, revision expected,
                                const std::string& operation) = 0;
  /// The same for documents that balancers do not read. `text` contains
  /// `operation`, by which a write whose answer is lost is recognised; empty
  /// text deletes.
  virtual result<revision> write(const std::string& key,
                                 const std::string& text, revision expected,
                                 const std::string& operation) = 0;
};

}  // namespace rosemarydrum
