#include "configuration/repeated_field.h"

#include <boost/json/basic_parser_impl.hpp>
#include <set>
#include <vector>

namespace rosemarydrum::detail {
namespace {

using boost::json::error_code;
using boost::json::string_view;

// Handler of basic_parser; a function that returns false stops the parser.
struct key_collector {
  static constexpr std::size_t max_object_size = SIZE_MAX;
  static constexpr std::size_t max_array_size = SIZE_MAX;
  static constexpr std::size_t max_key_size = SIZE_MAX;
  static constexpr std::size_t max_string_size = SIZE_MAX;

  // Keys read so far in each enclosing object, the outermost first.
  std::vector<std::set<std::string>> enclosing;
  std::string key;
  std::optional<std::string> repeated;

  bool on_object_begin(const error_code& /*ec*/) {
    enclosing.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t /*size*/, const error_code& /*ec*/) {
    enclosing.pop_back();
    return true;
  }
  bool on_key_part(string_view part, std::size_t /*size*/,
                   const error_code& /*ec*/) {
    key.append(part.data(), part.size());
    return true;
  }
  bool on_key(string_view part, std::size_t /*size*/,
              const error_code& /*ec*/) {
    key.append(part.data(), part.size());
    if (!enclosing.back().insert(key).second && !repeated) {
      repeated = key;
    }
    key.clear();
    return true;
  }

  // Values are ignored.
  static bool on_document_begin(const error_code& /*ec*/) { return true; }
  static bool on_document_end(const error_code& /*ec*/) { return true; }
  static bool on_array_begin(const error_code& /*ec*/) { return true; }
  static bool on_array_end(std::size_t /*size*/, const error_code& /*ec*/) {
    return true;
  }
  static bool on_string_part(string_view /*part*/, std::size_t /*size*/,
                             const error_code& /*ec*/) {
    return true;
  }
  static bool on_string(string_view /*part*/, std::size_t /*size*/,
                        const error_code& /*ec*/) {
    return true;
  }
  static bool on_number_part(string_view /*part*/, const error_code& /*ec*/) {
    return true;
  }
  static bool on_int64(std::int64_t /*value*/, string_view /*text*/,
                       const error_code& /*ec*/) {
    return true;
  }
  static bool on_uint64(std::uint64_t /*value*/, string_view /*text*/,
                        const error_code& /*ec*/) {
    return true;
  }
  static bool on_double(double /*value*/, string_view /*text*/,
                        const error_code& /*ec*/) {
    return true;
  }
  static bool on_bool(bool /*value*/, const error_code& /*ec*/) { return true; }
  static bool on_null(const error_code& /*ec*/) { return true; }
  static bool on_comment_part(string_view /*part*/, const error_code& /*ec*/) {
    return true;
  }
  static bool on_comment(string_view /*part*/, const error_code& /*ec*/) {
    return true;
  }
};

}  // namespace

std::optional<std::string> repeated_field(std::string_view json) {
  boost::json::basic_parser<key_collector> parser{boost::json::parse_options()};
  error_code error;
  parser.write_some(false, json.data(), json.size(), error);
  return parser.handler().repeated;
}

}  // namespace rosemarydrum::detail
