#include <utility>

#include "rosemarydrum/spread/replica_spread.h"

/// Inquiries and fetches that a member sends to others for missing changes.
namespace rosemarydrum {
namespace {

/// A value that the store has not returned for this long is fetched from a
/// member.
constexpr milliseconds missing_value_timeout{400};
constexpr milliseconds inquiry_interval{300};
constexpr std::size_t inquiry_fanout = 2;
constexpr milliseconds fetch_interval{500};

}  // namespace

bool replica_spread::can_fetch(time_point now, const spread_output& out) const {
  return !is_fetching(out) && now >= next_fetch_;
}

bool replica_spread::is_fetching(const spread_output& out) const {
  return pending_fetch_ || out.fetch;
}

void replica_spread::start_fetch(const fetch_request& request,
                                 spread_output& out) {
  pending_fetch_ = request;
  out.fetch = request;
}

void replica_spread::on_fetched(const std::optional<spread_message>& answer,
                                time_point now, spread_output& out) {
  const auto request = std::exchange(pending_fetch_, std::nullopt);
  if (!request) {
    return;
  }
  const auto* body = answer ? std::get_if<bulletin>(&answer->body) : nullptr;
  if (body != nullptr) {
    apply(body->listing, answer->at, now - body->age, now, out);
    choice_.on_bulletin(answer->sender, *body, settings_.max_age,
                        now >= stall_drained_at_, now);
  }
  if (request->kind == fetch_kind::unlisted) {
    on_unlisted(*request, body == nullptr ? nullptr : &*answer, now, out);
    return;
  }
  next_fetch_ = now + fetch_interval;
  const bool has_more = body != nullptr && body->listing.at < answer->at &&
                        replica_.at() < answer->at;
  if (has_more && replica_.at() > request->after) {
    start_fetch({request->from, fetch_kind::newer, replica_.at()}, out);
  }
}

void replica_spread::on_unlisted(const fetch_request& request,
                                 const spread_message* answer, time_point now,
                                 spread_output& out) {
  if (answer == nullptr) {
    history_.on_failure();
    fetch_unlisted(now, out);
    return;
  }
  const auto& history = std::get<bulletin>(answer->body).history;
  history_.on_answer(answer->at, history ? history->covered : milliseconds(0),
                     now);
  const bool is_before_restore =
      answer->at != revision{} && answer->at.era < replica_.at().era;
  if (is_before_restore) {
    // The member does not know yet what the store has lost.
    start_fetch({request.from, fetch_kind::newer, {}}, out);
  }
  fetch_unlisted(now, out);
}

void replica_spread::fetch_missing(time_point now, spread_output& out) {
  const auto missing = replica_.missing();
  if (missing.empty()) {
    missing_since_.reset();
    return;
  }
  missing_since_ = missing_since_.value_or(now);
  if (now - *missing_since_ < missing_value_timeout || !can_fetch(now, out)) {
    return;
  }
  if (const auto member = random_member(random_() % 2 == 0)) {
    const auto announced = missing.front().second;
    start_fetch({member->address, fetch_kind::newer,
                 revision(announced.era, announced.number - 1)},
                out);
  }
}

// The store no longer lists upstreams that were removed but still have flows,
// nor what it lost in a restore. A process that has just started fetches these
// from members that still know them.
void replica_spread::fetch_unlisted(time_point now, spread_output& out) {
  if (!history_.is_due(now) || is_fetching(out)) {
    return;
  }
  const auto member = next_to_ask();
  if (!member) {
    history_.on_all_asked(now);
    return;
  }
  fetch_request request{*member, fetch_kind::unlisted, {}};
  request.deadline = history_.on_asked(*member);
  start_fetch(request, out);
}

void replica_spread::send_inquiry(time_point now, spread_output& out) {
  next_inquiry_ = now + inquiry_interval;
  std::vector<endpoint> to;
  if (members_.size() <= 1) {
    to = settings_.seeds;
  }
  for (std::size_t i = 0; i < inquiry_fanout; ++i) {
    if (const auto member = random_member(i % 2 == 0)) {
      to.push_back(member->address);
    }
  }
  if (!to.empty()) {
    out.datagrams.push_back({std::move(to), make_message(inquiry{})});
  }
}

}  // namespace rosemarydrum
