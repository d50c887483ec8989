#pragma once

#include <string>

#include "rosemarydrum/forwarding/upstream_directory.h"

namespace rosemarydrum {

/// A directory with upstreams of service "desk".
struct directory_fixture {
  static constexpr time_point start{seconds(100)};

  static time_point at(int ms) { return start + milliseconds(ms); }

  upstream_index add(std::uint64_t key, const std::string& data_centre,
                     milliseconds cold_left = milliseconds(0),
                     bool draining = false) {
    const upstream_change change{record_state::present,
                                 {upstream_key(key),
                                  "desk",
                                  data_centre,
                                  {static_cast<std::uint32_t>(key), 80},
                                  4,
                                  draining,
                                  cold_left,
                                  incarnation(1)},
                                 milliseconds(0)};
    revision_ = revision(revision_.number + 1);
    directory.apply(change, revision_, start);
    return *directory.find(upstream_key(key));
  }

  upstream_directory directory;

 private:
  revision revision_{};
};

}  // namespace rosemarydrum
