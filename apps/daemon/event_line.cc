#include "daemon/event_line.h"

#include <glog/logging.h>

#include <sstream>

#include "rosemarydrum/events/event_log.h"

namespace rosemarydrum {
namespace {

// Omits a field that is zero, which means that it is not set.
template <typename Number>
void put_nonzero(std::ostream& out, std::string_view name, Number value) {
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
  put_nonzero(out, "balancer", value_of(event.process.id));
  put_nonzero(out, "run", value_of(event.process.run));
  put_nonzero(out, "sequence", event.sequence);
  put_nonzero(out, "logical_time", event.logical_time);
  put_nonzero(out, "unix_ms", event.wall_time);
  put_nonzero(out, "service", value_of(event.service));
  put_nonzero(out, "flow", value_of(event.flow));
  put_nonzero(out, "request", value_of(event.request));
  put_nonzero(out, "upstream", value_of(event.upstream));
  put_nonzero(out, "data_centre", value_of(event.data_centre));
  put_nonzero(out, "configuration", event.configuration.number);
  put_nonzero(out, "detail", event.detail);
  put_nonzero(out, "suppressed", event.suppressed);
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
