#include "log/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <cerrno>
#include <charconv>
#include <climits>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 3> severity_names{
    {"info", "warning", "error"}};

std::string to_hex(std::uint64_t number) {
  std::array<char, 16> digits{};
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
  static_cast<void>(error);
  return {digits.data(), end};
}

}  // namespace

std::string log_line(const log_entry& entry, const log_identity& identity) {
  const auto* description = find_event(entry.id);
  json::object line;
  line["unix_ms"] = runtime_clock::to_unix(entry.at);
  line["logical"] = entry.logical_time;
  line["event"] = static_cast<std::uint16_t>(entry.id);
  if (description != nullptr) {
    line["name"] = description->name;
    line["severity"] =
        severity_names[static_cast<std::size_t>(description->severity)];
  }
  line["node"] = identity.node;
  line["run"] = to_hex(identity.run);
  for (const auto& field : entry.fields) {
    line.emplace(field.key(), field.value());
  }
  if (entry.left_out > 0) {
    line["left_out"] = entry.left_out;
  }
  return json::serialize(line);
}

log_writer::log_writer(int descriptor, log_identity identity,
                       std::vector<log_ring*> rings)
    : descriptor_(descriptor),
      identity_(std::move(identity)),
      rings_(std::move(rings)) {}

std::uint64_t log_writer::dropped() const {
  auto total = dropped_;
  for (const auto* ring : rings_) {
    total += ring->dropped();
  }
  return total;
}

void log_writer::write(time_point now) {
  for (auto* ring : rings_) {
    ring->drain([this](log_entry&& entry) { enqueue(std::move(entry)); });
  }
  if (const auto total_dropped = dropped();
      total_dropped > reported_dropped_ &&
      buffer_.size() < max_buffered_bytes / 2) {
    enqueue(
        {event_id::log_lines_dropped, now, 0, 0, {{"dropped", total_dropped}}});
    reported_dropped_ = total_dropped;
  }
  flush();
}

void log_writer::enqueue(log_entry&& entry) {
  if (buffer_.size() >= max_buffered_bytes) {
    ++dropped_;
    return;
  }
  append(log_line(entry, identity_));
}

void log_writer::append(const std::string& line) {
  buffer_ += line;
  buffer_ += '\n';
}

// A pipe that polls as writable accepts PIPE_BUF bytes without blocking, so no
// write is larger.
void log_writer::flush() {
  std::size_t written = 0;
  while (written < buffer_.size()) {
    pollfd ready{descriptor_, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0) {
      break;
    }
    if ((ready.revents & (POLLERR | POLLNVAL)) != 0) {
      // The reader is gone or the descriptor is invalid: drop the buffer.
      dropped_ += static_cast<std::uint64_t>(
          std::count(buffer_.begin() + static_cast<std::ptrdiff_t>(written),
                     buffer_.end(), '\n'));
      written = buffer_.size();
      break;
    }
    const auto size = std::min<std::size_t>(buffer_.size() - written, PIPE_BUF);
    const auto count = ::write(descriptor_, buffer_.data() + written, size);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  buffer_.erase(0, written);
}

}  // namespace rosemarydrum
