#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace rosemarydrum {

/// A line of a process's log.
struct logged_event {
  std::uint64_t unix_ms = 0;
  std::uint64_t logical_time = 0;
  std::uint64_t number = 0;
  std::string name;
  std::string node;
  /// Tells the node's processes apart.
  std::string run;
  /// The other fields.
  boost::json::object fields;

  /// The field as text; empty if there is none.
  std::string text(std::string_view field) const;
};

/// The events of a log; lines may have a prefix before their JSON object.
struct log_content {
  std::vector<logged_event> events;
  /// Lines that are no events.
  std::size_t other_lines = 0;
};

log_content read_log(std::istream& lines);

}  // namespace rosemarydrum
