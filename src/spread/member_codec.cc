#include "rosemarydrum/spread/member_codec.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <limits>

#include "rosemarydrum/address_text.h"

namespace rosemarydrum {
namespace {

namespace json = boost::json;

constexpr std::int64_t max_capacity = std::numeric_limits<std::uint32_t>::max();

}  // namespace

std::string member_key(const std::string& name) {
  return std::string(members_prefix) + name;
}

std::string encode_member(const member_record& member) {
  return json::serialize(json::value{{"data_centre", member.data_centre},
                                     {"address", to_string(member.address)},
                                     {"capacity", member.capacity}});
}

std::optional<member_record> decode_member(std::string_view key,
                                           const std::string& text) {
  if (!key.starts_with(members_prefix) || key.size() == members_prefix.size()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto value = json::parse(text, error);
  const auto* fields = error ? nullptr : value.if_object();
  if (fields == nullptr) {
    return std::nullopt;
  }
  const auto* centre = fields->if_contains("data_centre");
  const auto* address = fields->if_contains("address");
  const auto* capacity = fields->if_contains("capacity");
  if (centre == nullptr || !centre->is_string() || address == nullptr ||
      !address->is_string() || capacity == nullptr || !capacity->is_int64() ||
      capacity->as_int64() < 0 || capacity->as_int64() > max_capacity) {
    return std::nullopt;
  }
  const auto parsed_address =
      parse_endpoint(std::string_view(address->as_string()));
  if (!parsed_address) {
    return std::nullopt;
  }
  return member_record{std::string(key.substr(members_prefix.size())),
                       std::string(centre->as_string()), *parsed_address,
                       static_cast<std::uint32_t>(capacity->as_int64())};
}

}  // namespace rosemarydrum
