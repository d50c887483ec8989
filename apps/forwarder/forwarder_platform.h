#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "rosemarydrum/forwarding/fleet_schema.h"
#include "rosemarydrum/forwarding/flow_codec.h"
#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Platform-specific parts that a forwarder depends on.
struct forwarder_platform {
  const flow_codec& codec;
  const fleet_schema& schema;
  /// Creates a client of the store at an address. The client runs on the
  /// context's thread.
  std::function<std::unique_ptr<kv_store>(boost::asio::io_context&,
                                          const endpoint&)>
      open_store;
  /// Request target of the fabric's readiness checks.
  std::string ready_target;
  /// Default path of the settings file; may be empty.
  std::string settings_file;
};

}  // namespace rosemarydrum
