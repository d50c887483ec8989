#pragma once

#include <cstring>

#include "rosemarydrum/requests/packet.h"

namespace rosemarydrum::standins {

inline constexpr std::size_t part_size = 256;

/// Returns the payload of one part of an answer. It depends only on flow,
/// request and part, so that a caller can detect mixed-up answers.
inline bytes answer_payload(flow_id flow, request_id request,
                            std::uint16_t part) {
  bytes payload(part_size);
  std::uint64_t word = detail::mix(value_of(flow), value_of(request));
  for (std::size_t at = 0; at < part_size; at += sizeof(word)) {
    word = detail::mix(word, part + at);
    std::memcpy(payload.data() + at, &word, sizeof(word));
  }
  return payload;
}

}  // namespace rosemarydrum::standins
