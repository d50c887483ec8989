#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "rosemarydrum/configuration/config_codec.h"

namespace rosemarydrum::detail {

/// Limits of the documents in memory. The design scale has 5,708 documents, and
/// a node has 64 MB of memory for the control plane.
inline constexpr std::size_t max_documents = 20'000;
inline constexpr std::size_t max_total_bytes = 24'000'000;

enum class document_outcome : std::uint8_t {
  applied,
  /// Not newer than the one in force, or already rejected.
  ignored,
  /// Does not decode; the version in force stays.
  rejected,
  /// Exceeds a limit, or the key is invalid; not stored.
  refused,
};

/// Upper bound of the encoded size of `documents`, in bytes.
std::size_t size_of(std::span<const document> documents);

/// Documents by key and the configuration decoded from them. Stores the version
/// in force of each and also the newest version if that does not decode,
/// because another balancer may be able to decode it.
class document_set {
 public:
  document_outcome add(const document& received);

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

  bool has_room(const document& received) const;
  void insert_text(const document& received);
  void erase_text(revision changed, const std::string& key);
  void apply(const std::string& key, entry& known, document_value value);
  template <typename Id>
  void apply_first_claim(std::map<Id, std::set<std::string>>& claims, Id id,
                         const std::string& key, document_value& value);

  configuration current_;
  std::map<std::string, entry> entries_;
  std::map<version, std::string> texts_;
  std::size_t total_bytes_ = 0;
  // Keys of the documents that use an id. If there are several, the first key
  // in order wins, so that all balancers choose the same one.
  std::map<service_id, std::set<std::string>> service_claims_;
  std::map<data_centre_id, std::set<std::string>> data_centre_claims_;
};

}  // namespace rosemarydrum::detail
