#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rosemarydrum/configuration/config_codec.h"
#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/field_error.h"

namespace rosemarydrum {

template <typename T>
using result = boost::leaf::result<T>;

/// The error of a subcommand; its kind determines the exit code.
struct failure {
  error_kind kind = error_kind::none;
  std::string message;
};

inline boost::leaf::error_id fail(error_kind kind, std::string message) {
  return boost::leaf::new_error(failure{kind, std::move(message)});
}

inline boost::leaf::error_id fail(error_kind kind, const field_error& error) {
  return fail(kind, to_line(error));
}

/// Fails with a message of one line for each problem.
inline boost::leaf::error_id fail(error_kind kind,
                                  const std::vector<field_error>& problems) {
  std::string lines;
  for (const auto& problem : problems) {
    lines += lines.empty() ? "" : "\n";
    lines += to_line(problem);
  }
  return fail(kind, std::move(lines));
}

}  // namespace rosemarydrum
