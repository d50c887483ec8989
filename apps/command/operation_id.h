#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The parts of an operation id. Documents keep the ids of their latest changes
/// as their history.
struct operation {
  unix_ms time = 0;
  std::string operator_name;
  std::string action;
  std::uint32_t random = 0;
};

/// Formats "time.operator.action.random", at most 64 bytes.
std::string operation_id(const operation& change);

/// Returns nullopt if the id has another format, as ids of other programs do.
std::optional<operation> parse_operation_id(std::string_view id);

}  // namespace rosemarydrum
