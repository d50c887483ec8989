#pragma once

#include <map>
#include <string>
#include <vector>

#include "rosemarydrum/address_text.h"
#include "rosemarydrum/number_text.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum::detail {

/// Unparsed values of settings by name.
class raw_values {
 public:
  void add(const std::string& name, const std::vector<std::string>& given) {
    auto& all = by_name_[name];
    all.insert(all.end(), given.begin(), given.end());
  }
  const std::vector<std::string>& all(const std::string& name) {
    return by_name_[name];
  }
  /// Returns the first value of a setting; empty if it has none. The parsing
  /// functions below expect checked values.
  std::string first(const std::string& name) {
    const auto& given = by_name_[name];
    return given.empty() ? std::string{} : given.front();
  }
  template <typename Number>
  Number number(const std::string& name) {
    return static_cast<Number>(parse_number(first(name)).value_or(0));
  }
  std::uint32_t thousandths(const std::string& name) {
    return static_cast<std::uint32_t>(
        parse_thousandths(first(name)).value_or(0));
  }
  endpoint address(const std::string& name) {
    return parse_endpoint(first(name), 0).value_or(endpoint{});
  }

 private:
  std::map<std::string, std::vector<std::string>> by_name_;
};

}  // namespace rosemarydrum::detail
