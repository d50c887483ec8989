#include <utility>

#include "rosemarydrum/spread/replica_spread.h"

/// What a member asks of others: what it has not heard of in time.
namespace rosemarydrum {
namespace {

/// Peers are asked for a value that the store has not given for this long.
constexpr milliseconds missing_patience{400};
constexpr milliseconds inquiry_interval{300};
constexpr std::size_t inquired_members = 2;
constexpr milliseconds fetch_interval{500};

}  // namespace

bool replica_spread::may_fetch(time_point now, const spread_output& out) const {
  return !fetching_ && !out.fetch && now >= next_fetch_;
}

void replica_spread::fetch(const fetch_request& request, spread_output& out) {
  fetching_ = request;
  out.fetch = request;
}

void replica_spread::on_fetched(const std::optional<spread_message>& answer,
                                time_point now, spread_output& out) {
  const auto request = std::exchange(fetching_, std::nullopt);
  next_fetch_ = now + fetch_interval;
  const auto* told = answer ? std::get_if<bulletin>(&answer->body) : nullptr;
  if (!request || told == nullptr) {
    return;
  }
  take_in(told->listing, answer->at, now - told->age, now, out);
  choice_.on_bulletin(answer->sender, *told, settings_.longest_age,
                      now >= trusted_from_, now);
  const bool is_part =
      told->listing.at < answer->at && replica_.at() < answer->at;
  if (request->kind == fetch_kind::newer && is_part &&
      replica_.at() > request->after) {
    fetch({request->from, fetch_kind::newer, replica_.at()}, out);
  }
}

void replica_spread::ask_for_missing(time_point now, spread_output& out) {
  const auto missing = replica_.missing();
  if (missing.empty()) {
    missing_since_.reset();
    return;
  }
  missing_since_ = missing_since_.value_or(now);
  if (now - *missing_since_ < missing_patience || !may_fetch(now, out)) {
    return;
  }
  if (const auto member = random_member(random_() % 2 == 0)) {
    fetch({member->address, fetch_kind::newer,
           revision(value_of(missing.front().second) - 1)},
          out);
  }
}

// The store's list lacks upstreams that were removed but still have flows. A
// process that has just started learns of them from a member that knew them.
void replica_spread::ask_for_removed(time_point now, spread_output& out) {
  if (removed_questions_ == 0 || !may_fetch(now, out)) {
    return;
  }
  if (const auto member = random_member(removed_questions_ % 2 == 0)) {
    --removed_questions_;
    fetch({member->address, fetch_kind::removed, {}}, out);
  }
}

void replica_spread::inquire(time_point now, spread_output& out) {
  next_inquiry_ = now + inquiry_interval;
  std::vector<endpoint> to;
  if (members_.size() <= 1) {
    to = settings_.seeds;
  }
  for (std::size_t i = 0; i < inquired_members; ++i) {
    if (const auto member = random_member(i % 2 == 0)) {
      to.push_back(member->address);
    }
  }
  if (!to.empty()) {
    out.datagrams.push_back({std::move(to), message_with(inquiry{})});
  }
}

std::optional<member_record> replica_spread::random_member(bool near) {
  std::vector<const member_record*> wanted;
  std::vector<const member_record*> others;
  for (const auto& [name, member] : members_) {
    if (name != settings_.self.name) {
      const bool is_near = member.data_centre == settings_.self.data_centre;
      (is_near == near ? wanted : others).push_back(&member);
    }
  }
  const auto& from = wanted.empty() ? others : wanted;
  return from.empty() ? std::nullopt
                      : std::optional(*from[random_() % from.size()]);
}

}  // namespace rosemarydrum
