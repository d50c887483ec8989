#include "rosemarydrum/spread/reader_choice.h"

#include <xxhash.h>

#include <algorithm>

namespace rosemarydrum {
namespace {

/// A reader has stopped if no bulletin of it has come for this long.
constexpr milliseconds reader_timeout{700};
/// Ages of what is known, in percent of the longest. A reader's is younger than
/// the first; members take over one after the other, by rank.
constexpr int read_age_percent = 38;
constexpr int takeover_step_percent = 5;
constexpr std::size_t last_takeover_rank = 8;

}  // namespace

void reader_choice::on_bulletin(const std::string& sender, const bulletin& told,
                                milliseconds longest_age, bool believed,
                                time_point now) {
  auto& known = readers_[sender];
  known.leaving = told.leaving;
  if (told.reading && believed &&
      told.age < longest_age * read_age_percent / 100) {
    known.fresh_at = now;
  }
}

bool reader_choice::reads(bool read_before, time_point confirmed_at,
                          milliseconds longest_age, time_point now) const {
  if (rank() == 0) {
    return true;
  }
  return read_before ? !is_covered(now)
                     : now - confirmed_at >= takeover_age(longest_age);
}

bool reader_choice::comes_before(const member_record& other) const {
  const auto weight = [](const member_record& member) {
    return XXH3_64bits(member.name.data(), member.name.size());
  };
  return other.capacity != self_.capacity ? other.capacity > self_.capacity
                                          : weight(other) > weight(self_);
}

std::size_t reader_choice::rank() const {
  std::size_t rank = 0;
  for (const auto& [name, member] : members_) {
    const auto heard = readers_.find(name);
    const bool leaves = heard != readers_.end() && heard->second.leaving;
    if (name != self_.name && !leaves &&
        member.data_centre == self_.data_centre && comes_before(member)) {
      ++rank;
    }
  }
  return rank;
}

const member_record* reader_choice::reader(time_point now) const {
  for (const auto& [name, heard] : readers_) {
    const auto member = members_.find(name);
    if (member != members_.end() && !heard.leaving &&
        heard.fresh_at + reader_timeout > now &&
        heard.fresh_at != time_point{} &&
        member->second.data_centre == self_.data_centre &&
        comes_before(member->second)) {
      return &member->second;
    }
  }
  return nullptr;
}

duration reader_choice::takeover_age(milliseconds longest_age) const {
  const auto place = static_cast<int>(std::min(rank(), last_takeover_rank));
  return longest_age * (read_age_percent + takeover_step_percent * place) / 100;
}

}  // namespace rosemarydrum
