#include "daemon/store_json.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "rosemarydrum/configuration/config_codec.h"

namespace rosemarydrum::store_json {
namespace {

namespace json = boost::json;

constexpr std::size_t max_key_bytes = 256;

std::optional<json::object> parse_object(std::string_view body) {
  json::error_code error;
  auto parsed = json::parse(body, error);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  return std::move(parsed.as_object());
}

std::optional<revision> revision_in(const json::object& object) {
  const auto* value = object.if_contains("revision");
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->is_uint64()) {
    return revision(value->get_uint64());
  }
  if (value->is_int64() && value->get_int64() >= 0) {
    return revision(static_cast<std::uint64_t>(value->get_int64()));
  }
  return std::nullopt;
}

std::optional<document> document_in(const json::object& object) {
  const auto* key = object.if_contains("key");
  const auto* text = object.if_contains("text");
  const auto changed = revision_in(object);
  if (key == nullptr || text == nullptr || !changed || !key->is_string() ||
      !text->is_string() || key->get_string().size() > max_key_bytes ||
      text->get_string().size() > max_document_bytes) {
    return std::nullopt;
  }
  return document{std::string(key->get_string()),
                  std::string(text->get_string()), *changed};
}

bool is_plain(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         std::string_view("-._~/").find(c) != std::string_view::npos;
}

}  // namespace

std::string escape(std::string_view text) {
  constexpr std::string_view digits = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    if (is_plain(c)) {
      escaped += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      escaped += {'%', digits[byte >> 4U], digits[byte & 15U]};
    }
  }
  return escaped;
}

std::optional<std::string> unescape(std::string_view text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      plain += text[i];
      continue;
    }
    unsigned byte = 0;
    const auto* first = text.data() + i + 1;
    if (i + 2 >= text.size() ||
        std::from_chars(first, first + 2, byte, 16).ptr != first + 2) {
      return std::nullopt;
    }
    plain += static_cast<char>(byte);
    i += 2;
  }
  return plain;
}

json::value write(const document& item) {
  return {{"key", item.key},
          {"text", item.text},
          {"revision", item.changed.number}};
}

std::string write(const page& listed) {
  json::array documents;
  documents.reserve(listed.documents.size());
  for (const auto& item : listed.documents) {
    documents.push_back(write(item));
  }
  return json::serialize(json::object{{"revision", listed.last.number},
                                      {"more", listed.more},
                                      {"documents", std::move(documents)}});
}

std::optional<document> read_document(std::string_view body) {
  const auto object = parse_object(body);
  return object ? document_in(*object) : std::nullopt;
}

std::optional<page> read_page(std::string_view body) {
  const auto object = parse_object(body);
  if (!object) {
    return std::nullopt;
  }
  const auto last = revision_in(*object);
  const auto* more = object->if_contains("more");
  const auto* documents = object->if_contains("documents");
  if (!last || more == nullptr || !more->is_bool() || documents == nullptr ||
      !documents->is_array()) {
    return std::nullopt;
  }
  page listed{*last, more->get_bool(), {}};
  listed.documents.reserve(documents->get_array().size());
  for (const auto& item : documents->get_array()) {
    auto read = item.is_object() ? document_in(item.get_object())
                                 : std::optional<document>();
    if (!read) {
      return std::nullopt;
    }
    listed.documents.push_back(std::move(*read));
  }
  return listed;
}

std::optional<revision> read_revision(std::string_view body) {
  const auto object = parse_object(body);
  return object ? revision_in(*object) : std::nullopt;
}

}  // namespace rosemarydrum::store_json
