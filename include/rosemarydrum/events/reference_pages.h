#pragma once

#include <string>

/// The pages of docs/ that are generated from tables.
namespace rosemarydrum {

/// docs/settings.md.
std::string settings_page();

/// docs/events.md.
std::string events_page_text();

}  // namespace rosemarydrum
