#include "rosemarydrum/configuration/config_sync.h"

#include <algorithm>

#include "configuration/config_sync_state.h"

namespace rosemarydrum {
namespace {

constexpr std::size_t max_peers = 1024;

// The range of revisions that a batch of documents covers.
struct batch_range {
  std::optional<revision> after;
  revision last{};
  // The highest revision of any document in the batch. The batch may lack
  // documents that changed between `last` and this revision.
  revision highest{};
};

batch_range range_of(std::span<const document> documents) {
  batch_range range;
  if (documents.empty()) {
    return range;
  }
  if (documents.front().key.empty()) {
    range.after = documents.front().changed;
  }
  for (const auto& item : documents) {
    range.highest = std::max(range.highest, item.changed);
  }
  range.last =
      documents.back().key.empty() ? documents.back().changed : range.highest;
  return range;
}

}  // namespace

config_sync::config_sync(time_point started)
    : state_(std::make_unique<state>()) {
  state_->started = started;
}

config_sync::~config_sync() = default;

bool config_sync::on_documents(std::span<const document> documents,
                               bool from_store,
                               std::span<const balancer_id> peers,
                               time_point now, actions& out) {
  auto& s = *state_;
  bool changed = false;
  bool has_new_versions = false;
  s.add(documents, from_store, out, changed, has_new_versions);
  const auto before = s.highest();
  auto range = range_of(documents);
  s.highest_known = std::max(s.highest_known, range.highest);
  if (from_store) {
    s.store_highest = std::max(s.store_highest, range.highest);
    range.after = range.after.value_or(before);
  }
  if (range.after && *range.after <= before) {
    s.documents.current().highest = std::max(before, range.last);
  }
  // The initial load is not pushed, because peers have it already; one that
  // lacks some of it pulls.
  if (from_store && before != revision{} &&
      (has_new_versions || s.highest() > before)) {
    s.push(peers, before, out);
  }
  if (!from_store && range.after) {
    s.on_pulled_range(*range.after, range.last, before, now, out);
  }
  return changed;
}

void config_sync::on_peer_revision(balancer_id peer, revision peer_revision,
                                   time_point now, actions& out) {
  auto& s = *state_;
  s.highest_known = std::max(s.highest_known, peer_revision);
  if (s.peers.size() >= max_peers) {
    std::erase_if(s.peers, [&](const auto& item) {
      return now - item.second.heard > remote_suspicion_timeout;
    });
  }
  if (s.peers.size() < max_peers || s.peers.contains(peer)) {
    s.peers.insert_or_assign(peer, state::peer{peer_revision, now});
  }
  s.pull_if_behind(now, out);
}

void config_sync::on_pull(balancer_id from, const config_pull& pull,
                          actions& out) {
  auto& s = *state_;
  if (pull.after < s.highest()) {
    out.emplace_back(
        send_to_peer{from, {}, config_push{s.next_message(pull.after)}});
  }
}

void config_sync::tick(time_point now, actions& out) {
  state_->pull_if_behind(now, out);
}

const configuration& config_sync::current() const {
  return state_->documents.current();
}

bool config_sync::is_ready(time_point now) const {
  auto& s = *state_;
  if (!s.ready) {
    s.ready = now - s.started >= ready_delay && s.highest() != revision{} &&
              s.highest() >= s.store_highest &&
              std::none_of(s.peers.begin(), s.peers.end(), [&](const auto& p) {
                return s.is_behind(p.second, now);
              });
  }
  return s.ready;
}

bool config_sync::may_lack_documents(time_point now) const {
  const auto& since = state_->behind_since;
  return !is_ready(now) || (since && now - *since < max_sync_time);
}

revision config_sync::highest_known() const { return state_->highest_known; }

}  // namespace rosemarydrum
