#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace rosemarydrum {

/// An event that was read from a process's log.
struct logged_event {
  std::uint64_t unix_ms = 0;
  std::uint64_t logical_time = 0;
  std::uint64_t number = 0;
  std::string name;
  std::string node;
  /// Distinguishes the processes of a node.
  std::string run;
  /// The other fields.
  boost::json::object fields;

  /// Returns the field as text; empty if the event lacks it.
  std::string text(std::string_view field) const;
};

/// The events of a log. A line may have a prefix before its JSON object.
struct log_content {
  std::vector<logged_event> events;
  /// Number of lines that are not events.
  std::size_t other_lines = 0;
};

log_content read_log(std::istream& lines);

}  // namespace rosemarydrum
