#include "configuration/config_sync_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "rosemarydrum/error_kind.h"

namespace rosemarydrum {

void config_sync::state::add(std::span<const document> received,
                             bool from_store, actions& out, bool& changed,
                             bool& has_new_versions) {
  event_record applied;
  applied.id = event_id::configuration_applied;
  event_record ignored;
  ignored.id = event_id::configuration_ignored;
  for (const auto& item : received) {
    if (item.key.empty()) {
      continue;
    }
    if (!is_configuration_key(item.key)) {
      // Questionnaires and notes are only for the operators' command.
      continue;
    }
    switch (documents.add(item)) {
      case detail::document_outcome::applied:
        applied.configuration = std::max(applied.configuration, item.changed);
        ++applied.detail;
        break;
      case detail::document_outcome::ignored:
        if (from_store && item.changed < documents.accepted(item.key)) {
          ignored.configuration = std::max(ignored.configuration, item.changed);
          ++ignored.detail;
        }
        break;
      case detail::document_outcome::rejected: {
        event_record rejected;
        rejected.id = event_id::document_rejected;
        rejected.configuration = item.changed;
        rejected.detail = static_cast<std::uint64_t>(error_kind::bad_document);
        out.emplace_back(record_event{rejected});
        const auto before = documents.accepted(item.key);
        missing_after = std::min(missing_after.value_or(before), before);
        has_new_versions = true;
        break;
      }
      case detail::document_outcome::refused: {
        event_record refused;
        refused.id = event_id::document_rejected;
        refused.configuration = item.changed;
        refused.detail = static_cast<std::uint64_t>(error_kind::overloaded);
        out.emplace_back(record_event{refused});
        break;
      }
    }
  }
  if (ignored.detail > 0) {
    out.emplace_back(record_event{ignored});
  }
  if (applied.detail > 0) {
    out.emplace_back(record_event{applied});
    changed = has_new_versions = true;
  }
}

std::vector<document> config_sync::state::next_message(revision after) {
  auto page = documents.page(after, highest(), max_push_bytes);
  const bool is_last =
      page.empty() || documents.page(page.back().changed, highest(), 0).empty();
  page.insert(page.begin(), document{{}, {}, after});
  // A single document may exceed max_push_bytes; a second one of that size
  // would exceed max_peer_message.
  if (is_last && detail::size_of(page) <= max_push_bytes) {
    auto later = documents.page(highest(), revision::max(), max_push_bytes);
    page.insert(page.end(), std::make_move_iterator(later.begin()),
                std::make_move_iterator(later.end()));
  }
  if (is_last && page.back().changed != highest()) {
    page.push_back(document{{}, {}, highest()});
  }
  return page;
}

void config_sync::state::push(std::span<const balancer_id> to, revision after,
                              actions& out) {
  std::vector<balancer_id> behind;
  std::copy_if(
      to.begin(), to.end(), std::back_inserter(behind), [&](balancer_id id) {
        const auto known = peers.find(id);
        return known == peers.end() || known->second.configuration < highest();
      });
  for (std::size_t sent = 0;
       sent < max_push_messages && after < highest() && !behind.empty();
       ++sent) {
    const auto next = next_message(after);
    after = next.back().changed;
    for (const auto id : behind) {
      out.emplace_back(send_to_peer{id, {}, config_push{next}});
    }
  }
}

std::optional<balancer_id> config_sync::state::choose_pull_peer(
    time_point now) const {
  std::optional<balancer_id> first;
  for (const auto& [id, other] : peers) {
    const bool can_answer =
        is_behind(other, now) ||
        (missing_after && now - other.heard <= remote_suspicion_timeout &&
         other.configuration > *missing_after);
    if (can_answer && id > last_pulled_from) {
      return id;
    }
    if (can_answer && !first) {
      first = id;
    }
  }
  return first;
}

void config_sync::state::pull(balancer_id from, time_point now, actions& out) {
  const auto after = std::min(highest(), missing_after.value_or(highest()));
  pulled_from = last_pulled_from = from;
  pulled_at = now;
  out.emplace_back(send_to_peer{from, {}, config_pull{after}});
}

void config_sync::state::pull_if_behind(time_point now, actions& out) {
  const auto from = choose_pull_peer(now);
  if (!from) {
    behind_since.reset();
    pulled_from.reset();
    return;
  }
  if (!behind_since) {
    behind_since = now;
  }
  const bool may_be_pushed = highest() != revision{} && !missing_after &&
                             now - *behind_since < pull_delay;
  if (may_be_pushed || (pulled_from && now - pulled_at < pull_retry)) {
    return;
  }
  pull(*from, now, out);
}

void config_sync::state::on_pulled_range(revision after, revision last,
                                         revision highest_before,
                                         time_point now, actions& out) {
  const bool found_missing = missing_after && after == *missing_after;
  if (found_missing) {
    missing_after = last;
    if (last >= highest()) {
      missing_after.reset();
    }
  }
  if (!pulled_from || (!found_missing && highest() == highest_before)) {
    return;
  }
  const auto answered = *std::exchange(pulled_from, std::nullopt);
  const auto found = peers.find(answered);
  if (found != peers.end() &&
      (is_behind(found->second, now) ||
       (missing_after && found->second.configuration > *missing_after))) {
    pull(answered, now, out);
  }
}

}  // namespace rosemarydrum
