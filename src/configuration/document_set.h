#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "rosemarydrum/configuration/config_codec.h"

namespace rosemarydrum::detail {

/// Bounds of what a balancer keeps: the design scale has 5,708 documents, and
/// a node has 64 MB for control.
inline constexpr std::size_t max_documents = 20'000;
inline constexpr std::size_t max_total_bytes = 24'000'000;

enum class document_outcome : std::uint8_t {
  applied,
  /// Not newer than the one in force, or already rejected.
  ignored,
  /// Does not decode; the version in force stays.
  rejected,
  /// No room, or the key names no document; not kept.
  refused,
};

/// Bytes of `documents` in a message, at most.
std::size_t size_of(std::span<const document> documents);

/// Documents by key and the configuration that they make. Keeps the version
/// in force and, if it does not decode, the newest version, because another
/// balancer may be able to decode it.
class document_set {
 public:
  document_outcome add(const document& shown);

  /// Documents changed after `after` and up to `last`, by revision. Stops
  /// before the one that would exceed `max_bytes`, but returns at least one.
  std::vector<document> page(revision after, revision last,
                             std::size_t max_bytes) const;

  configuration& current() { return current_; }
  const configuration& current() const { return current_; }
  /// The revision of the version in force, 0 if there is none.
  revision accepted(const std::string& key) const;

 private:
  using version = std::pair<revision, std::string>;

  struct entry {
    revision accepted{};
    revision newest{};
    service_id service{};
    data_centre_id data_centre{};
  };

  bool has_room(const document& shown) const;
  void keep(const document& shown);
  void drop(revision changed, const std::string& key);
  void apply(const std::string& key, entry& known, document_value value);
  template <typename Id>
  void settle(std::map<Id, std::set<std::string>>& claims, Id id,
              const std::string& key, document_value& value);

  configuration current_;
  std::map<std::string, entry> entries_;
  std::map<version, std::string> texts_;
  std::size_t total_bytes_ = 0;
  // Keys of the documents that name an id. Of several the first key counts,
  // so that all balancers choose the same one.
  std::map<service_id, std::set<std::string>> service_claims_;
  std::map<data_centre_id, std::set<std::string>> data_centre_claims_;
};

}  // namespace rosemarydrum::detail
