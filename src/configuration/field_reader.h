#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <concepts>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "rosemarydrum/configuration/config_codec.h"

namespace rosemarydrum::detail {

using problem_list = std::vector<field_error>;

/// Appends `problem` unless there are `max_problems` already.
void add_problem(problem_list& problems, field_error problem);

/// Reads the fields of one JSON object and reports each wrong one.
class field_reader {
 public:
  /// `path` is empty or ends with a dot.
  field_reader(const boost::json::object& object, std::string path,
               problem_list& problems)
      : object_(object), path_(std::move(path)), problems_(problems) {}

  /// An integer from `min` to `max`, for an integer or an id type.
  template <typename T>
  void number(std::string_view name, T& target, std::uint64_t min,
              std::uint64_t max) {
    if (const auto value = read_number(name, min, max)) {
      target = static_cast<T>(*value);
    }
  }
  void flag(std::string_view name, bool& target);
  /// 1 to `max` bytes without control characters.
  void text(std::string_view name, std::string& target, std::size_t max);
  void address(std::string_view name, endpoint& target);
  void prefix(std::string_view name, ip_prefix& target);
  void state(std::string_view name, service_state& target);
  /// An array of at most `max` objects; `read` is called with a reader of
  /// each.
  void objects(std::string_view name, std::size_t max,
               const std::function<void(field_reader&)>& read);
  /// Optional array of at most `max` texts of 1 to 64 bytes.
  void texts(std::string_view name, std::vector<std::string>& target,
             std::size_t max);

  bool has(std::string_view name) const { return object_.contains(name); }
  void problem(std::string_view name, std::string allowed, std::string fix);
  /// Reports unknown fields: those that were not read.
  void finish();

 private:
  const boost::json::value* find(std::string_view name,
                                 std::string_view allowed);
  std::optional<std::uint64_t> read_number(std::string_view name,
                                           std::uint64_t min,
                                           std::uint64_t max);

  const boost::json::object& object_;
  std::string path_;
  problem_list& problems_;
  std::vector<std::string_view> read_fields_;
};

}  // namespace rosemarydrum::detail
