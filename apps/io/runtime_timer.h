#pragma once

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

/// Bounds how long Asio sleeps while a test holds the runtime clock, because
/// advancing a held clock does not wake Asio.
struct runtime_wait_traits {
  static constexpr milliseconds max_wait{20};

  static duration to_wait_duration(const duration& wait) {
    return runtime_clock::is_manual() ? std::min<duration>(wait, max_wait)
                                      : wait;
  }
  static duration to_wait_duration(const time_point& at) {
    return to_wait_duration(at - runtime_clock::now());
  }
};

/// An Asio timer that runs on runtime_clock.
using runtime_timer =
    boost::asio::basic_waitable_timer<runtime_clock, runtime_wait_traits>;

}  // namespace rosemarydrum
