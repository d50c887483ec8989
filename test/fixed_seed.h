#pragma once

#include <cstdlib>

namespace rosemarydrum::detail {

/// Sets RapidCheck's seed, so that a test gives the same result in every run.
/// An RC_PARAMS that is already in the environment takes precedence.
inline const int setenv_result = setenv("RC_PARAMS", "seed=1", 0);

}  // namespace rosemarydrum::detail
