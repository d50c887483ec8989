#pragma once

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "rosemarydrum/types.h"

/// Request bodies of the store's writes.
namespace rosemarydrum::standins {

struct lease_request {
  std::string name;
  std::string holder;
  milliseconds ttl{};
};

namespace detail {
inline std::optional<std::string> text_of(const boost::json::value& body,
                                          std::string_view field) {
  const auto* object = body.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(field);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return std::string(value->get_string());
}
}  // namespace detail

/// Parses the body of PUT /v1/keys; returns nullopt if malformed.
inline std::optional<std::string> read_text(std::string_view body) {
  boost::json::error_code error;
  return detail::text_of(boost::json::parse(body, error), "text");
}

/// Returns nullopt if malformed or if the lease is not 1 ms to 10 minutes.
inline std::optional<lease_request> read_lease(std::string_view body) {
  boost::json::error_code error;
  const auto parsed = boost::json::parse(body, error);
  auto name = detail::text_of(parsed, "name");
  auto holder = detail::text_of(parsed, "holder");
  if (!name || !holder) {
    return std::nullopt;
  }
  const auto* ttl = parsed.get_object().if_contains("ttl_ms");
  if (ttl == nullptr || !ttl->is_int64() || ttl->get_int64() < 1 ||
      ttl->get_int64() > 600'000) {
    return std::nullopt;
  }
  return lease_request{std::move(*name), std::move(*holder),
                       milliseconds(ttl->get_int64())};
}

}  // namespace rosemarydrum::standins
