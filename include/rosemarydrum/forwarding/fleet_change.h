#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rosemarydrum/forwarding/fleet_configuration.h"
#include "rosemarydrum/forwarding/upstream_record.h"
#include "rosemarydrum/types.h"

/// Decoded changes of the store's items.
namespace rosemarydrum {

enum class record_state : std::uint8_t {
  present,
  /// The entry exists but cannot be decoded.
  unreadable,
  removed,
};

struct upstream_change {
  record_state state = record_state::present;
  /// For a removed upstream the last known record. Only the key is set if that
  /// record is not known or the entry is unreadable.
  upstream_record record;
  /// Time for which a removed upstream still counts as listed, because its
  /// entry may have expired only while the store was unavailable.
  milliseconds grace{0};

  friend bool operator==(const upstream_change&,
                         const upstream_change&) = default;
};

struct configuration_change {
  std::shared_ptr<const fleet_configuration> value;
};

/// Operators have taken a data centre out of service or put it back.
struct data_centre_change {
  std::string name;
  bool out = false;
  /// Time since it was put back, if known.
  std::optional<milliseconds> back_for{};

  friend bool operator==(const data_centre_change&,
                         const data_centre_change&) = default;
};

struct fleet_change {
  /// Store revision of the change.
  revision changed{};
  std::variant<upstream_change, configuration_change, data_centre_change>
      content;
  /// Takes effect even if a later revision is in force: a restored store has
  /// lost this version.
  bool supersedes = false;
};

}  // namespace rosemarydrum
