#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

#include "metrics/timed.h"

namespace rosemarydrum {

/// Builds the text of a metrics address (Prometheus exposition format 0.0.4).
/// Names get the prefix "rosemarydrum_".
class metrics_page {
 public:
  void gauge(std::string_view name, double value);
  /// The name gets the suffix "_total".
  void counter(std::string_view name, std::uint64_t value);
  /// One of several counters of a name; calls for one name follow each other.
  void counter(std::string_view name, std::string_view label,
               std::string_view label_value, std::uint64_t value);
  void histogram(std::string_view name, const timed& values);

  std::string text() const { return out_.str(); }

 private:
  void type(std::string_view name, std::string_view suffix,
            std::string_view type);

  std::ostringstream out_;
  std::string last_name_;
};

}  // namespace rosemarydrum
