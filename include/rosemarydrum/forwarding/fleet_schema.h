#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rosemarydrum/forwarding/fleet_change.h"
#include "rosemarydrum/store/kv_store.h"

namespace rosemarydrum {

/// Where the operators and the upstreams keep what in the store, and how to
/// read it.
class fleet_schema {
 public:
  fleet_schema() = default;
  fleet_schema(const fleet_schema&) = delete;
  fleet_schema& operator=(const fleet_schema&) = delete;
  virtual ~fleet_schema() = default;

  /// Key of the operators' configuration.
  virtual std::string_view configuration_key() const = 0;
  /// Prefix of the data centres that are out, one key for each.
  virtual std::string_view data_centres_prefix() const = 0;
  /// Prefix of the upstreams' entries, one key for each.
  virtual std::string_view upstreams_prefix() const = 0;

  /// Nullopt if the key is not one of these, or if the configuration cannot be
  /// read, so that the former one stays in force.
  virtual std::optional<fleet_change> decode(const kv_item& item) const = 0;
};

}  // namespace rosemarydrum
