#pragma once

#include <cstring>

#include "rosemarydrum/requests/packet.h"

namespace rosemarydrum::standin {

inline constexpr std::size_t part_size = 256;

/// The payload of one part of an answer. It depends on flow, request and part
/// only, so that a caller sees mixed-up answers.
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

}  // namespace rosemarydrum::standin
