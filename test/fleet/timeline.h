#pragma once

#include <functional>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Runs functions after a delay, on a manual clock or in real time.
class timeline {
 public:
  timeline() = default;
  timeline(const timeline&) = delete;
  timeline& operator=(const timeline&) = delete;
  virtual ~timeline() = default;

  virtual time_point now() const = 0;
  virtual void after(duration delay, std::function<void()> function) = 0;
};

}  // namespace rosemarydrum
