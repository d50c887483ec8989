#pragma once

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace rosemarydrum::standins {

/// Faults that a test sets with POST /control; absent fields are unchanged.
struct store_faults {
  /// Answers calls with 503 without performing them.
  bool outage = false;
  /// Performs writes, then closes the connection without an answer.
  bool lose_answers = false;
  /// Reads return the state at the time when this was set.
  bool stale = false;
  /// Calls are performed at once and answered after this delay.
  std::uint64_t delay_ms = 0;
};

/// What GET /control reports.
struct store_counts {
  std::uint64_t gets = 0;
  std::uint64_t lists = 0;
  std::uint64_t puts = 0;
  std::uint64_t watches = 0;
  std::uint64_t leases = 0;
  std::uint64_t waiting_watches = 0;
  std::uint64_t bytes_sent = 0;

  std::string to_json() const {
    return boost::json::serialize(
        boost::json::object{{"gets", gets},
                            {"lists", lists},
                            {"puts", puts},
                            {"watches", watches},
                            {"leases", leases},
                            {"waiting_watches", waiting_watches},
                            {"bytes_sent", bytes_sent}});
  }
};

/// Applies the fields of `body`; sets `silence` if all connections must stop
/// answering. Returns false and applies nothing if a field is invalid.
inline bool apply_control(std::string_view body, store_faults& faults,
                          bool& silence) {
  boost::json::error_code error;
  const auto parsed = boost::json::parse(body, error);
  if (error || !parsed.is_object()) {
    return false;
  }
  auto wanted = faults;
  bool silenced = false;
  for (const auto& [name, value] : parsed.get_object()) {
    bool* flag = name == "outage"         ? &wanted.outage
                 : name == "lose_answers" ? &wanted.lose_answers
                 : name == "stale"        ? &wanted.stale
                 : name == "silence"      ? &silenced
                                          : nullptr;
    if (flag != nullptr && value.is_bool()) {
      *flag = value.get_bool();
    } else if (name == "delay_ms" && value.is_int64() &&
               value.get_int64() >= 0 && value.get_int64() <= 60'000) {
      wanted.delay_ms = static_cast<std::uint64_t>(value.get_int64());
    } else {
      return false;
    }
  }
  faults = wanted;
  silence = silenced;
  return true;
}

}  // namespace rosemarydrum::standins
