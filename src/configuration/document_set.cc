#include "configuration/document_set.h"

namespace rosemarydrum::detail {
namespace {

// Bytes that the key, revision and pointers of a document add to a Cap'n Proto
// message.
constexpr std::size_t document_overhead = 64;

std::size_t size_of(const std::string& key, const std::string& text) {
  return key.size() + text.size() + document_overhead;
}

}  // namespace

std::size_t size_of(std::span<const document> documents) {
  std::size_t bytes = 0;
  for (const auto& item : documents) {
    bytes += size_of(item.key, item.text);
  }
  return bytes;
}

revision document_set::accepted(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? revision{} : found->second.accepted;
}

bool document_set::has_room(const document& received) const {
  return received.text.size() <= max_document_bytes &&
         total_bytes_ + size_of(received.key, received.text) <=
             max_total_bytes &&
         (entries_.contains(received.key) || entries_.size() < max_documents);
}

void document_set::insert_text(const document& received) {
  if (texts_.try_emplace({received.changed, received.key}, received.text)
          .second) {
    total_bytes_ += size_of(received.key, received.text);
  }
}

void document_set::erase_text(revision changed, const std::string& key) {
  if (const auto found = texts_.find({changed, key}); found != texts_.end()) {
    total_bytes_ -= size_of(key, found->second);
    texts_.erase(found);
  }
}

document_outcome document_set::add(const document& received) {
  const auto found = entries_.find(received.key);
  if (found != entries_.end() && (received.changed <= found->second.accepted ||
                                  received.changed == found->second.newest)) {
    return document_outcome::ignored;
  }
  auto result = decode_document(received.key, received.text);
  auto* decoded = std::get_if<decoded_document>(&result);
  const bool valid_key =
      decoded != nullptr || std::holds_alternative<decoded_document>(
                                decode_document(received.key, {}));
  if (!valid_key || !has_room(received)) {
    return document_outcome::refused;
  }
  auto& known = entries_[received.key];
  if (decoded == nullptr && received.changed < known.newest) {
    return document_outcome::ignored;
  }
  if (received.changed > known.newest) {
    if (known.newest != known.accepted) {
      erase_text(known.newest, received.key);
    }
    known.newest = received.changed;
  }
  insert_text(received);
  if (decoded == nullptr) {
    return document_outcome::rejected;
  }
  erase_text(known.accepted, received.key);
  known.accepted = received.changed;
  apply(received.key, known, std::move(decoded->value));
  return document_outcome::applied;
}

void document_set::apply(const std::string& key, entry& known,
                         document_value value) {
  const auto old_service = std::exchange(known.service, {});
  const auto old_centre = std::exchange(known.data_centre, {});
  if (const auto* next = std::get_if<service>(&value)) {
    known.service = next->id;
  } else if (const auto* centre = std::get_if<data_centre>(&value)) {
    known.data_centre = centre->id;
  }
  document_value none;
  if (old_service != service_id{} && old_service != known.service) {
    service_claims_[old_service].erase(key);
    apply_first_claim(service_claims_, old_service, key, none);
  }
  if (old_centre != data_centre_id{} && old_centre != known.data_centre) {
    data_centre_claims_[old_centre].erase(key);
    apply_first_claim(data_centre_claims_, old_centre, key, none);
  }
  if (known.service != service_id{}) {
    service_claims_[known.service].insert(key);
    apply_first_claim(service_claims_, known.service, key, value);
  } else if (known.data_centre != data_centre_id{}) {
    data_centre_claims_[known.data_centre].insert(key);
    apply_first_claim(data_centre_claims_, known.data_centre, key, value);
  }
}

// Puts the document with the first key that uses `id` in force. `value` is the
// decoded document of `key`.
template <typename Id>
void document_set::apply_first_claim(
    std::map<Id, std::set<std::string>>& claims, Id id, const std::string& key,
    document_value& value) {
  const auto found = claims.find(id);
  if (found->second.empty()) {
    claims.erase(found);
    current_.remove(id);
    return;
  }
  const std::string& first = *found->second.begin();
  if (first != key) {
    auto other = decode_document(first, texts_.at({accepted(first), first}));
    value = std::move(std::get<decoded_document>(other).value);
  }
  if (auto* next = std::get_if<service>(&value)) {
    current_.put(std::move(*next));
  } else if (auto* centre = std::get_if<data_centre>(&value)) {
    current_.put(std::move(*centre));
  }
}

std::vector<document> document_set::page(revision after, revision last,
                                         std::size_t max_bytes) const {
  std::vector<document> documents;
  std::size_t bytes = 0;
  const revision first(after.era, after.number + 1);
  for (auto item = texts_.lower_bound({first, {}});
       item != texts_.end() && item->first.first <= last; ++item) {
    const auto& [changed, key] = item->first;
    bytes += size_of(key, item->second);
    if (!documents.empty() && bytes > max_bytes) {
      break;
    }
    documents.push_back({key, item->second, changed});
  }
  return documents;
}

}  // namespace rosemarydrum::detail
