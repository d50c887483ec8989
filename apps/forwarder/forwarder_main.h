#pragma once

#include "forwarder/forwarder_platform.h"

namespace rosemarydrum {

/// The forwarder's main function on a platform. Returns the exit code.
int forwarder_main(int count, char** words, const forwarder_platform& platform);

}  // namespace rosemarydrum
