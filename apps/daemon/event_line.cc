#include "daemon/event_line.h"

#include <glog/logging.h>

#include <sstream>

#include "rosemarydrum/events/event_log.h"

namespace rosemarydrum {
namespace {

template <typename Number>
void put(std::ostream& out, std::string_view name, Number value) {
  if (value != 0) {
    out << ' ' << name << '=' << value;
  }
}

}  // namespace

std::string event_line(const event_record& event) {
  std::ostringstream out;
  const auto* description = find_event(event.id);
  out << "event=" << static_cast<unsigned>(event.id)
      << " name=" << (description == nullptr ? "unknown" : description->name);
  put(out, "balancer", value_of(event.process.id));
  put(out, "run", value_of(event.process.run));
  put(out, "sequence", event.sequence);
  put(out, "logical_time", event.logical_time);
  put(out, "unix_ms", event.wall_time);
  put(out, "service", value_of(event.service));
  put(out, "flow", value_of(event.flow));
  put(out, "request", value_of(event.request));
  put(out, "upstream", value_of(event.upstream));
  put(out, "data_centre", value_of(event.data_centre));
  put(out, "configuration", value_of(event.configuration));
  put(out, "detail", event.detail);
  put(out, "suppressed", event.suppressed);
  return out.str();
}

void log_event(const event_record& event) {
  const auto* description = find_event(event.id);
  switch (description == nullptr ? event_severity::info
                                 : description->severity) {
    case event_severity::info:
      LOG(INFO) << event_line(event);
      return;
    case event_severity::warning:
      LOG(WARNING) << event_line(event);
      return;
    case event_severity::error:
      LOG(ERROR) << event_line(event);
      return;
  }
}

}  // namespace rosemarydrum
