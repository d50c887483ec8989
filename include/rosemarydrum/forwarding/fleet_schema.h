#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "rosemarydrum/forwarding/fleet_change.h"
#include "rosemarydrum/store/kv_store.h"

namespace rosemarydrum {

/// The keys under which operators and upstreams write to the store, and the
/// decoding of their values.
class fleet_schema {
 public:
  fleet_schema() = default;
  fleet_schema(const fleet_schema&) = delete;
  fleet_schema& operator=(const fleet_schema&) = delete;
  virtual ~fleet_schema() = default;

  /// Key of the operators' configuration.
  virtual std::string_view configuration_key() const = 0;
  /// Prefix of the data centres that are out of service, one key for each.
  virtual std::string_view data_centres_prefix() const = 0;
  /// Prefix of the upstreams' entries, one key for each.
  virtual std::string_view upstreams_prefix() const = 0;

  /// Returns nullopt if the key is none of these, or if the configuration
  /// cannot be decoded; the previous configuration then stays in effect.
  virtual std::optional<fleet_change> decode(const kv_item& item) const = 0;

  /// Compares two versions of an item by what their writer put into them, such
  /// as a version number. `greater`: `left` was written later.
  virtual std::partial_ordering compare(const kv_item& left,
                                        const kv_item& right) const = 0;
};

}  // namespace rosemarydrum
