#include "log/event_logger.h"

namespace rosemarydrum {

event_severity severity_of(std::string_view name) {
  if (name == "error") {
    return event_severity::error;
  }
  return name == "warning" ? event_severity::warning : event_severity::info;
}

void event_logger::set_limit(event_id id, std::uint32_t per_second) {
  rate_limiters_[id].set_limit(per_second);
}

std::optional<std::uint32_t> event_logger::admit(event_id id, time_point now) {
  const auto* description = find_event(id);
  if (description == nullptr || description->severity < min_severity_) {
    return std::nullopt;
  }
  return rate_limiters_.try_emplace(id, default_limit).first->second.take(now);
}

}  // namespace rosemarydrum
