#pragma once

#include <string>

/// The pages of docs/ that are generated from tables.
namespace rosemarydrum {

/// Returns the text of docs/settings.md.
std::string settings_page();

/// Returns the text of docs/events.md.
std::string events_page_text();

}  // namespace rosemarydrum
