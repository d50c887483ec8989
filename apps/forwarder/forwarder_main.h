#pragma once

#include "forwarder/forwarder_platform.h"

namespace rosemarydrum {

/// Runs the forwarder with the given platform and returns the exit code.
int forwarder_main(int count, char** words, const forwarder_platform& platform);

}  // namespace rosemarydrum
