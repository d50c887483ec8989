#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "log/event_logger.h"

namespace rosemarydrum {

/// Identifies the writing process; part of each log line.
struct log_identity {
  std::string node;
  std::uint64_t run = 0;
};

/// Returns `entry` as one JSON object, without a trailing newline.
std::string log_line(const log_entry& entry, const log_identity& identity);

/// Writes the log entries of several threads to a file descriptor. Buffers what
/// the descriptor does not accept at once; drops and counts entries that arrive
/// while the buffer is full.
class log_writer {
 public:
  /// New entries are dropped once the buffer holds this many bytes.
  static constexpr std::size_t max_buffered_bytes = 1 << 20;

  log_writer(int descriptor, log_identity identity,
             std::vector<log_ring*> rings);

  /// Drains all rings and writes what the descriptor accepts without blocking.
  void write(time_point now);
  /// Returns the number of lines lost since the start, here or in a ring.
  std::uint64_t dropped() const;

 private:
  void enqueue(log_entry&& entry);
  void append(const std::string& line);
  void flush();

  int descriptor_;
  log_identity identity_;
  std::vector<log_ring*> rings_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

}  // namespace rosemarydrum
