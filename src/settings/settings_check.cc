#include "settings/settings_check.h"

#include <sstream>

#include "rosemarydrum/address_text.h"
#include "rosemarydrum/number_text.h"

namespace rosemarydrum::detail {
namespace {

bool is_in_range(const setting_description& setting, std::uint64_t number) {
  return number >= setting.minimum && number <= setting.maximum;
}

bool is_choice(std::string_view choices, std::string_view word) {
  std::istringstream words{std::string(choices)};
  for (std::string choice; std::getline(words, choice, '|');) {
    if (choice == word) {
      return true;
    }
  }
  return false;
}

bool is_allowed(const setting_description& setting, const std::string& value) {
  switch (setting.type) {
    case setting_type::number: {
      const auto number = parse_number(value);
      return number && is_in_range(setting, *number);
    }
    case setting_type::decimal: {
      const auto number = parse_thousandths(value);
      return number && is_in_range(setting, *number);
    }
    case setting_type::text:
      return is_in_range(setting, value.size());
    case setting_type::choice:
      return is_choice(setting.choices, value);
    case setting_type::address: {
      const auto address = parse_endpoint(value, 0);
      return address && is_in_range(setting, address->port);
    }
    case setting_type::peer: {
      const auto peer = parse_peer(value);
      return peer && is_in_range(setting, peer->address.port);
    }
  }
  return false;
}

std::string suggested_fix(const setting_description& setting) {
  return "set --" + std::string(setting.name) + " or " +
         environment_name(setting.name);
}

}  // namespace

std::optional<peer_address> parse_peer(std::string_view text) {
  const auto at = text.find('@');
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const auto id = parse_number(text.substr(0, at));
  const auto address = parse_endpoint(text.substr(at + 1), 0);
  if (!id || *id == 0 || *id > 0xffff'ffff || !address) {
    return std::nullopt;
  }
  return peer_address{balancer_id(static_cast<std::uint32_t>(*id)), *address};
}

std::optional<field_error> check_setting(const setting_description& setting,
                                         const std::vector<std::string>& given,
                                         bool is_required) {
  const auto wrong = [&](const std::string& value) {
    return field_error{"--" + std::string(setting.name), value,
                       allowed_values(setting), suggested_fix(setting)};
  };
  if (given.empty() && setting.required && is_required) {
    return wrong("");
  }
  for (const auto& value : given) {
    if (!is_allowed(setting, value)) {
      // Error messages are logged, so they must not contain the secret.
      return wrong(setting.name == "token-secret"
                       ? std::to_string(value.size()) + " characters"
                       : value);
    }
  }
  return std::nullopt;
}

}  // namespace rosemarydrum::detail
