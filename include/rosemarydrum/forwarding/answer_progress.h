#pragma once

#include <cstdint>

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Data that is sent again within this time belongs to one retransmission.
inline constexpr milliseconds retransmission_spacing{100};

/// Callers have at most this much data in flight.
inline constexpr std::uint32_t max_bytes_in_flight = 16 * 1200;

/// What a caller's packet shows about the answers of its flow's upstream.
enum class progress_event : std::uint8_t {
  none,
  /// The caller has begun a request.
  request,
  /// The caller has sent data of the request again.
  retransmission,
  /// After a retransmission the caller has sent data that it may send only when
  /// the upstream has acknowledged the repeated data.
  further_data,
  /// The caller has acknowledged response bytes.
  answer,
};

/// Follows the requests of one flow from its caller's packets. The upstream's
/// packets do not pass through this process, but the caller acknowledges them
/// and retransmits data that the upstream has not acknowledged.
class answer_progress {
 public:
  /// Starts at the first packet of an open flow.
  void open(std::uint32_t acknowledged);
  progress_event on_packet(const flow_packet& packet, time_point now);

  /// Whether the current request has no answer yet.
  bool is_waiting() const { return waiting_since_ != time_point{}; }
  /// Whether data of the current or latest request was sent again.
  bool was_repeated() const { return was_repeated_; }
  /// When the caller last sent data for the first time, rather than again.
  time_point sent_at() const { return sent_at_; }
  /// When the caller last sent any data.
  time_point last_data_at() const { return last_data_at_; }
  std::uint32_t acknowledged() const { return acknowledged_; }

  /// Number of requests since the flow was opened.
  std::uint32_t requests() const { return requests_; }
  /// Response bytes of the current request that the caller has acknowledged.
  std::uint32_t answer_bytes() const {
    return acknowledged_ - request_acknowledged_;
  }
  /// When the current request began; the start of time if there was none.
  time_point request_began() const { return request_began_; }
  /// When the caller last acknowledged response bytes.
  time_point answered_at() const { return answered_at_; }

 private:
  progress_event on_data(const flow_packet& packet, time_point now);

  /// The highest acknowledged sequence number, and its value when the current
  /// request began.
  std::uint32_t acknowledged_ = 0;
  std::uint32_t request_acknowledged_ = 0;
  /// End of the data sent so far.
  std::uint32_t sent_until_ = 0;
  std::uint32_t requests_ = 0;
  time_point request_began_;
  /// When the current request began, until its first answer.
  time_point waiting_since_;
  time_point sent_at_;
  time_point last_data_at_;
  /// Whether data of the request was sent again that may not be acknowledged
  /// yet, and where it starts.
  bool is_repeating_ = false;
  std::uint32_t repeated_from_ = 0;
  bool was_repeated_ = false;
  time_point answered_at_;
};

}  // namespace rosemarydrum
