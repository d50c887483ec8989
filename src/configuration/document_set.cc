#include "configuration/document_set.h"

namespace rosemarydrum::detail {
namespace {

// Key, revision and pointers of a document in a Cap'n Proto message.
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

bool document_set::has_room(const document& shown) const {
  return shown.text.size() <= max_document_bytes &&
         total_bytes_ + size_of(shown.key, shown.text) <= max_total_bytes &&
         (entries_.contains(shown.key) || entries_.size() < max_documents);
}

void document_set::keep(const document& shown) {
  if (texts_.try_emplace({shown.changed, shown.key}, shown.text).second) {
    total_bytes_ += size_of(shown.key, shown.text);
  }
}

void document_set::drop(revision changed, const std::string& key) {
  if (const auto found = texts_.find({changed, key}); found != texts_.end()) {
    total_bytes_ -= size_of(key, found->second);
    texts_.erase(found);
  }
}

document_outcome document_set::add(const document& shown) {
  const auto found = entries_.find(shown.key);
  if (found != entries_.end() && (shown.changed <= found->second.accepted ||
                                  shown.changed == found->second.newest)) {
    return document_outcome::ignored;
  }
  auto result = decode_document(shown.key, shown.text);
  auto* decoded = std::get_if<decoded_document>(&result);
  const bool valid_key =
      decoded != nullptr ||
      std::holds_alternative<decoded_document>(decode_document(shown.key, {}));
  if (!valid_key || !has_room(shown)) {
    return document_outcome::refused;
  }
  auto& known = entries_[shown.key];
  if (decoded == nullptr && shown.changed < known.newest) {
    return document_outcome::ignored;
  }
  if (shown.changed > known.newest) {
    if (known.newest != known.accepted) {
      drop(known.newest, shown.key);
    }
    known.newest = shown.changed;
  }
  keep(shown);
  if (decoded == nullptr) {
    return document_outcome::rejected;
  }
  drop(known.accepted, shown.key);
  known.accepted = shown.changed;
  apply(shown.key, known, std::move(decoded->value));
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
    settle(service_claims_, old_service, key, none);
  }
  if (old_centre != data_centre_id{} && old_centre != known.data_centre) {
    data_centre_claims_[old_centre].erase(key);
    settle(data_centre_claims_, old_centre, key, none);
  }
  if (known.service != service_id{}) {
    service_claims_[known.service].insert(key);
    settle(service_claims_, known.service, key, value);
  } else if (known.data_centre != data_centre_id{}) {
    data_centre_claims_[known.data_centre].insert(key);
    settle(data_centre_claims_, known.data_centre, key, value);
  }
}

// Puts the document of the first key that names `id` in force; `value` is the
// one of `key`.
template <typename Id>
void document_set::settle(std::map<Id, std::set<std::string>>& claims, Id id,
                          const std::string& key, document_value& value) {
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
  for (auto item = texts_.lower_bound({revision(value_of(after) + 1), {}});
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
