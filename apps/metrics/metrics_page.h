#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

#include "metrics/duration_histogram.h"

namespace rosemarydrum {

/// Builds the response body of a metrics endpoint (Prometheus text format
/// 0.0.4).
/// Names get the prefix "rosemarydrum_".
class metrics_page {
 public:
  void gauge(std::string_view name, double value);
  /// Appends "_total" to the name.
  void counter(std::string_view name, std::uint64_t value);
  /// Writes one labelled series of a counter. Calls for the same name must be
  /// consecutive, or its TYPE line repeats.
  void counter(std::string_view name, std::string_view label,
               std::string_view label_value, std::uint64_t value);
  void histogram(std::string_view name, const duration_histogram& values);

  std::string text() const { return out_.str(); }

 private:
  /// Writes the TYPE line, once for consecutive calls with the same name.
  void write_type(std::string_view name, std::string_view suffix,
                  std::string_view type);

  std::ostringstream out_;
  std::string last_name_;
};

}  // namespace rosemarydrum
