#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "command/subcommand.h"

namespace rosemarydrum {

/// The data centres that operators are taking out of service, in one document.
/// It is written before the data centre's own document, so that one of two
/// operators who concurrently take out the last two data centres gets a
/// conflict.
struct leaving_data_centres {
  std::vector<std::string> names;
  revision changed{};
};

inline constexpr std::string_view leaving_key = "leaving/data-centres";

result<leaving_data_centres> read_leaving(store_access& store);
result<revision> write_leaving(command_context& context,
                               const leaving_data_centres& value);

}  // namespace rosemarydrum
