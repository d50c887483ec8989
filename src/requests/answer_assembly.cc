#include "requests/answer_assembly.h"

#include <utility>

namespace rosemarydrum::detail {

bool answer_assembly::accepts(const packet& part) const {
  const packet_header& header = part.header;
  if (header.parts == 0 || header.parts > max_parts ||
      header.part >= header.parts || part.payload.size() > max_payload) {
    return false;
  }
  return empty() || (header.parts == parts_.size() &&
                     header.upstream_run == run_ && !parts_[header.part]);
}

void answer_assembly::add(const packet& part) {
  if (empty()) {
    parts_.resize(part.header.parts);
    run_ = part.header.upstream_run;
  }
  parts_[part.header.part] = part.payload;
  ++received_;
  size_bytes_ += part.payload.size();
}

std::vector<std::uint16_t> answer_assembly::missing(std::size_t limit) const {
  std::vector<std::uint16_t> indexes;
  for (std::size_t i = 0; i < parts_.size() && indexes.size() < limit; ++i) {
    if (!parts_[i]) {
      indexes.push_back(static_cast<std::uint16_t>(i));
    }
  }
  return indexes;
}

std::vector<bytes> answer_assembly::take() {
  std::vector<bytes> payloads;
  payloads.reserve(parts_.size());
  for (auto& part : parts_) {
    payloads.push_back(std::move(*part));
  }
  return payloads;
}

}  // namespace rosemarydrum::detail
