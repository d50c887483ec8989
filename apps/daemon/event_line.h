#pragma once

#include <string>

#include "rosemarydrum/events/event_record.h"

namespace rosemarydrum {

/// One log line: number, name and the fields that are set.
std::string event_line(const event_record& event);

/// Writes `event` to the log with the severity of its catalogue row.
void log_event(const event_record& event);

}  // namespace rosemarydrum
