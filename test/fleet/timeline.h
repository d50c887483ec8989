#pragma once

#include <functional>

#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Runs functions later, on a held clock or in real time.
class timeline {
 public:
  timeline() = default;
  timeline(const timeline&) = delete;
  timeline& operator=(const timeline&) = delete;
  virtual ~timeline() = default;

  virtual time_point now() const = 0;
  virtual void after(duration wait, std::function<void()> run) = 0;
};

}  // namespace rosemarydrum
