#pragma once

#include <string_view>

namespace rosemarydrum {

/// Logs messages of at least `level` to standard error, because instances have
/// no disk.
void set_up_log(const char* program_name, std::string_view level);

}  // namespace rosemarydrum
