#include "rosemarydrum/spread/reader_choice.h"

#include <xxhash.h>

#include <algorithm>

namespace rosemarydrum {
namespace {

/// A reader counts as failed after this time without a bulletin.
constexpr milliseconds reader_timeout{700};
/// A bulletin proves a working reader only if its age is below this share of
/// the maximum age. Other members take over when the age of their last
/// confirmation reaches the share plus one step per rank, so that they do not
/// take over all at once. The steps of the first ranks are longer than a call
/// to the store; the others follow if all of these have failed.
constexpr int reader_max_age_percent = 38;
constexpr int takeover_step_percent = 5;
constexpr std::size_t first_ranks = 8;
constexpr int late_step_permille = 4;
constexpr int max_takeover_age_permille = 980;

}  // namespace

void reader_choice::on_bulletin(const std::string& sender, const bulletin& body,
                                milliseconds max_age, bool is_current,
                                time_point now) {
  auto& state = reader_states_[sender];
  state.leaving = body.leaving;
  if (body.reading && is_current &&
      body.age < max_age * reader_max_age_percent / 100) {
    state.last_reading_at = now;
  }
}

bool reader_choice::should_read(bool was_reading, time_point confirmed_at,
                                milliseconds max_age, time_point now) const {
  if (rank() == 0) {
    return true;
  }
  return was_reading ? !has_outranking_reader(now)
                     : now - confirmed_at >= takeover_age(max_age);
}

bool reader_choice::is_outranked_by(const member_record& other) const {
  const auto name_hash = [](const member_record& member) {
    return XXH3_64bits(member.name.data(), member.name.size());
  };
  return other.capacity != self_.capacity ? other.capacity > self_.capacity
                                          : name_hash(other) > name_hash(self_);
}

std::size_t reader_choice::rank() const {
  std::size_t rank = 0;
  for (const auto& [name, member] : members_) {
    const auto state = reader_states_.find(name);
    const bool is_leaving =
        state != reader_states_.end() && state->second.leaving;
    if (name != self_.name && !is_leaving &&
        member.data_centre == self_.data_centre && is_outranked_by(member)) {
      ++rank;
    }
  }
  return rank;
}

const member_record* reader_choice::reader(time_point now) const {
  for (const auto& [name, state] : reader_states_) {
    const auto member = members_.find(name);
    if (member != members_.end() && !state.leaving &&
        state.last_reading_at + reader_timeout > now &&
        state.last_reading_at != time_point{} &&
        member->second.data_centre == self_.data_centre &&
        is_outranked_by(member->second)) {
      return &member->second;
    }
  }
  return nullptr;
}

duration reader_choice::takeover_age(milliseconds max_age) const {
  const auto own_rank = rank();
  const auto early = static_cast<int>(std::min(own_rank, first_ranks));
  const auto late = static_cast<int>(own_rank) - early;
  const auto permille =
      10 * (reader_max_age_percent + takeover_step_percent * early) +
      late_step_permille * late;
  return max_age * std::min(permille, max_takeover_age_permille) / 1000;
}

}  // namespace rosemarydrum
