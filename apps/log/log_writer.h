#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "log/event_logger.h"

namespace rosemarydrum {

/// Who writes a log, on each of its lines.
struct log_identity {
  std::string node;
  std::uint64_t run = 0;
};

/// One JSON object as the log's line, without an end of line.
std::string log_line(const log_entry& entry, const log_identity& identity);

/// Writes the lines of several threads to a file descriptor. What it does not
/// take at once is kept up to a bound, and lost with a count beyond it.
class log_writer {
 public:
  /// Bytes that wait for the descriptor.
  static constexpr std::size_t max_waiting = 1 << 20;

  log_writer(int descriptor, log_identity identity,
             std::vector<log_ring*> rings);

  /// Takes all entries of the rings and writes what the descriptor takes
  /// without blocking.
  void write(time_point now);
  /// Lines that were lost since the start, here or in a ring.
  std::uint64_t dropped() const;

 private:
  void take(log_entry&& entry);
  void append(const std::string& line);
  void flush();

  int descriptor_;
  log_identity identity_;
  std::vector<log_ring*> rings_;
  std::string waiting_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
};

}  // namespace rosemarydrum
