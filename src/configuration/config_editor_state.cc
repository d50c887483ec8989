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
  step = next;
  switch (next) {
    case edit_step::idle:
      break;
    case edit_step::listing:
      store.list("", listed_up_to, on_answer(&state::on_listing));
      break;
    case edit_step::writing:
      ++uncertain_writes;
      store.compare_and_swap(write, on_answer(&state::on_written));
      break;
    case edit_step::reading_back:
      store.get(requested.key, on_answer(&state::on_read_back));
      break;
  }
}

// tick() performs the retry, because only it knows the time.
void config_editor::state::schedule_retry(edit_step next, error_kind error) {
  step = next;
  last_error = error;
}

void config_editor::state::finish(error_kind error, certainty result,
                                  revision changed,
                                  std::vector<field_error> problems) {
  step = edit_step::idle;
  waiting_for_answer = false;
  const auto report = std::exchange(done, {});
  report({error, result, changed, std::move(problems)});
}

void config_editor::state::on_listing(const store_listing& listing) {
  if (listing.error != error_kind::none) {
    schedule_retry(edit_step::listing, listing.error);
    return;
  }
  for (const auto& item : listing.documents) {
    auto& kept = latest_documents[item.key];
    if (item.changed > kept.changed) {
      kept = item;
      decoded.add(item);
    }
  }
  listed_up_to = std::max(listed_up_to, listing.last);
  modify();
}

void config_editor::state::modify() {
  const auto found = latest_documents.find(requested.key);
  const document base = found == latest_documents.end()
                            ? document{requested.key, {}, {}}
                            : found->second;
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
  // A document that does not decode is treated as absent and may be replaced.
  if (contains(base_operations, requested.operation)) {
    finish(error_kind::none, certainty::not_applicable, base.changed);
    return;
  }
  if (requested.expected && *requested.expected != base.changed) {
    finish(error_kind::conflict, certainty::not_run);
    return;
  }
  if (const auto error = requested.change(decoded.current(), value);
      error != error_kind::none) {
    finish(error, certainty::not_run);
    return;
  }
  std::vector<std::string> operations{requested.operation};
  operations.insert(operations.end(), base_operations.begin(),
                    base_operations.end());
  write = {requested.key, encode_document(value, operations), base.changed,
           requested.operation};
  std::vector<document> documents;
  documents.reserve(latest_documents.size() + 1);
  for (const auto& [key, item] : latest_documents) {
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

void config_editor::state::on_written(const store_write_result& written) {
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
    // The operation ids in the document tell whether an earlier attempt was
    // performed.
    schedule_retry(edit_step::reading_back, written.error);
  } else if (may_be_retried) {
    schedule_retry(edit_step::writing, written.error);
  } else {
    finish(written.error, certainty::not_run);
  }
}

void config_editor::state::on_read_back(const store_read_result& read) {
  if (read.error != error_kind::none && read.error != error_kind::not_found) {
    schedule_retry(edit_step::reading_back, read.error);
  } else if (read.error == error_kind::not_found ||
             read.value.changed <= write.expected) {
    // Not performed yet, or the read was stale. Repeating the write with the
    // same expected revision is safe in both cases.
    schedule_retry(edit_step::writing, last_error);
  } else {
    resolve_uncertain_write(read.value);
  }
}

// The document has changed since it was read, so no attempt can still be
// performed. Its operation ids tell whether one has been.
void config_editor::state::resolve_uncertain_write(const document& found) {
  if (found.text.empty() && write.text.empty()) {
    finish(error_kind::none, certainty::not_applicable, found.changed);
    return;
  }
  auto result = decode_document(found.key, found.text);
  std::vector<std::string> operations;
  if (auto* valid = std::get_if<decoded_document>(&result)) {
    operations = std::move(valid->operations);
  }
  if (contains(operations, requested.operation)) {
    finish(error_kind::none, certainty::not_applicable, found.changed);
    return;
  }
  // If the list still holds the latest operation that was read, it is complete
  // since then and would hold this edit. Otherwise older ids have been cut off.
  const bool complete =
      !base_operations.empty() && contains(operations, base_operations.front());
  finish(error_kind::conflict,
         complete ? certainty::not_run : certainty::unknown);
}

}  // namespace rosemarydrum
