#pragma once

#include <string>
#include <vector>

#include "command/documents.h"

namespace rosemarydrum {

std::vector<balancer_entry> all_balancers(
    const std::vector<stored<data_centre>>& centres);

/// Formats, for example, "balancer 7 at 10.0.0.1:7000".
std::string balancer_name(const balancer_entry& balancer);

/// Waits until all balancers that answer report revision `wanted` or later, at
/// most for the timeout in the settings. Returns notes that name unreachable
/// balancers. Fails with timed_out, which names those that are behind.
result<std::vector<std::string>> wait_for_revision(
    command_context& context, const std::vector<balancer_entry>& balancers,
    revision wanted);

}  // namespace rosemarydrum
