#pragma once

#include <boost/program_options/options_description.hpp>
#include <string>
#include <variant>

#include "rosemarydrum/field_error.h"
#include "rosemarydrum/settings/settings.h"
#include "settings/raw_values.h"

namespace rosemarydrum::detail {

bool is_used_by(const setting_description& setting, program which);

/// Returns the options of a program, for flags and settings files.
boost::program_options::options_description options_of(program which);

/// Parses a settings file. Settings without a value are skipped.
std::variant<raw_values, field_error> read_settings_file(
    const boost::program_options::options_description& options,
    const std::string& text);

}  // namespace rosemarydrum::detail
