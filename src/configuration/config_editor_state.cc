#include "configuration/config_editor_state.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {
namespace {

bool contains(const std::vector<std::string>& ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

void config_editor::state::perform(edit_step next) {
  now_doing = next;
  switch (next) {
    case edit_step::idle:
      break;
    case edit_step::listing:
      store.list("", known_last, answer(&state::on_listing));
      break;
    case edit_step::writing:
      ++uncertain_writes;
      store.compare_and_swap(write, answer(&state::on_written));
      break;
    case edit_step::reading_back:
      store.get(wanted.key, answer(&state::on_read_back));
      break;
  }
}

// The retry itself waits for a tick, which knows the time.
void config_editor::state::try_again(edit_step next, error_kind error) {
  now_doing = next;
  last_error = error;
}

void config_editor::state::finish(error_kind error, certainty result,
                                  revision changed,
                                  std::vector<field_error> problems) {
  now_doing = edit_step::idle;
  waiting_for_answer = false;
  const auto report = std::exchange(done, {});
  report({error, result, changed, std::move(problems)});
}

void config_editor::state::on_listing(const store_listing& listing) {
  if (listing.error != error_kind::none) {
    try_again(edit_step::listing, listing.error);
    return;
  }
  for (const auto& item : listing.documents) {
    auto& kept = known[item.key];
    if (item.changed > kept.changed) {
      kept = item;
      decoded.add(item);
    }
  }
  known_last = std::max(known_last, listing.last);
  modify();
}

void config_editor::state::modify() {
  const auto found = known.find(wanted.key);
  const document base =
      found == known.end() ? document{wanted.key, {}, {}} : found->second;
  auto decoded_base = decode_document(base.key, base.text);
  document_value value;
  base_operations.clear();
  if (auto* valid = std::get_if<decoded_document>(&decoded_base)) {
    value = std::move(valid->value);
    base_operations = std::move(valid->operations);
  } else if (base.text.empty()) {
    finish(error_kind::bad_document, certainty::not_run, {},
           std::get<std::vector<field_error>>(std::move(decoded_base)));
    return;
  }
  // A document that does not decode counts as absent and may be replaced.
  if (contains(base_operations, wanted.operation)) {
    finish(error_kind::none, certainty::not_applicable, base.changed);
    return;
  }
  if (wanted.expected && *wanted.expected != base.changed) {
    finish(error_kind::conflict, certainty::not_run);
    return;
  }
  if (const auto error = wanted.change(decoded.current(), value);
      error != error_kind::none) {
    finish(error, certainty::not_run);
    return;
  }
  std::vector<std::string> operations{wanted.operation};
  operations.insert(operations.end(), base_operations.begin(),
                    base_operations.end());
  write = {wanted.key, encode_document(value, operations), base.changed,
           wanted.operation};
  std::vector<document> documents;
  documents.reserve(known.size() + 1);
  for (const auto& [key, item] : known) {
    documents.push_back(item);
  }
  if (auto problems =
          check_change(std::move(documents), {write.key, write.text, {}});
      !problems.empty()) {
    finish(error_kind::bad_document, certainty::not_run, {},
           std::move(problems));
    return;
  }
  perform(edit_step::writing);
}

void config_editor::state::on_written(const store_written& written) {
  if (written.error == error_kind::none) {
    finish(error_kind::none, certainty::not_applicable, written.changed);
    return;
  }
  if (written.outcome == certainty::not_run) {
    --uncertain_writes;
  }
  const bool may_be_retried = written.error == error_kind::store_unavailable ||
                              written.error == error_kind::timed_out;
  if (uncertain_writes > 0) {
    // The document tells whether an earlier attempt was performed.
    try_again(edit_step::reading_back, written.error);
  } else if (may_be_retried) {
    try_again(edit_step::writing, written.error);
  } else {
    finish(written.error, certainty::not_run);
  }
}

void config_editor::state::on_read_back(const store_read& read) {
  if (read.error != error_kind::none && read.error != error_kind::not_found) {
    try_again(edit_step::reading_back, read.error);
  } else if (read.error == error_kind::not_found ||
             read.value.changed <= write.expected) {
    // Not performed yet, or a stale read. A write with the same expected
    // revision is safe in both cases.
    try_again(edit_step::writing, last_error);
  } else {
    judge(read.value);
  }
}

// The document has changed since it was read, so that no attempt can be
// performed from now on.
void config_editor::state::judge(const document& found) {
  if (found.text.empty() && write.text.empty()) {
    finish(error_kind::none, certainty::not_applicable, found.changed);
    return;
  }
  auto result = decode_document(found.key, found.text);
  std::vector<std::string> operations;
  if (auto* valid = std::get_if<decoded_document>(&result)) {
    operations = std::move(valid->operations);
  }
  if (contains(operations, wanted.operation)) {
    finish(error_kind::none, certainty::not_applicable, found.changed);
    return;
  }
  // The list is in order and lacks nothing after the change that was read, so
  // that this edit would be in it. Otherwise the list has been cut.
  const bool complete =
      !base_operations.empty() && contains(operations, base_operations.front());
  finish(error_kind::conflict,
         complete ? certainty::not_run : certainty::unknown);
}

}  // namespace rosemarydrum
