#include "rosemarydrum/forwarding/answer_progress.h"

namespace rosemarydrum {
namespace {

// Sequence numbers wrap.
bool is_after(std::uint32_t number, std::uint32_t other) {
  return static_cast<std::int32_t>(number - other) > 0;
}

}  // namespace

void answer_progress::open(std::uint32_t acknowledged) {
  *this = {};
  acknowledged_ = request_acknowledged_ = acknowledged;
}

progress_event answer_progress::on_packet(const flow_packet& packet,
                                          time_point now) {
  const bool advances = packet.acknowledges && !packet.resets &&
                        is_after(packet.acknowledged, acknowledged_);
  if (advances) {
    acknowledged_ = packet.acknowledged;
  }
  // Data may come with the acknowledgement of an earlier answer, so that only
  // packets without data show when an answer arrived.
  if (!packet.data.empty()) {
    return on_data(packet, now);
  }
  if (!advances) {
    return progress_event::none;
  }
  waiting_since_ = {};
  answered_at_ = now;
  return progress_event::answer;
}

progress_event answer_progress::on_data(const flow_packet& packet,
                                        time_point now) {
  const auto end =
      packet.sequence + static_cast<std::uint32_t>(packet.data.size());
  const bool is_new = requests_ == 0 || is_after(end, sent_until_);
  if (!is_new &&
      (!is_waiting() || now - last_data_at_ < retransmission_spacing)) {
    return progress_event::none;
  }
  last_data_at_ = now;
  if (!is_new) {
    is_repeating_ = true;
    repeated_from_ = packet.sequence;
    was_repeated_ = true;
    return progress_event::retransmission;
  }
  sent_until_ = end;
  sent_at_ = now;
  if (is_waiting()) {
    if (is_repeating_ && end - repeated_from_ > max_bytes_in_flight) {
      is_repeating_ = false;
      return progress_event::further_data;
    }
    return progress_event::none;
  }
  is_repeating_ = false;
  ++requests_;
  was_repeated_ = false;
  request_acknowledged_ = acknowledged_;
  request_began_ = waiting_since_ = now;
  return progress_event::request;
}

}  // namespace rosemarydrum
