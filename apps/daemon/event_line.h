#pragma once

#include <string>

#include "rosemarydrum/events/event_record.h"

namespace rosemarydrum {

/// Formats an event as one log line: number, name and the fields that are set.
std::string event_line(const event_record& event);

/// Writes `event` to the log with the severity of its event type.
void log_event(const event_record& event);

}  // namespace rosemarydrum
