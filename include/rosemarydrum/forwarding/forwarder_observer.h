#pragma once

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/open_flows.h"
#include "rosemarydrum/forwarding/packet_verdict.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Why an opening packet was sent to another upstream.
enum class repeat_cause : std::uint8_t {
  /// The caller has not followed it up within the handshake timeout.
  timeout,
  /// The caller has sent it again.
  callers_copy,
};

/// Hears of the forwarder's decisions, for logs and metrics. Each function is
/// called when its decision is made, before it is carried out.
class forwarder_observer {
 public:
  forwarder_observer() = default;
  forwarder_observer(const forwarder_observer&) = delete;
  forwarder_observer& operator=(const forwarder_observer&) = delete;
  virtual ~forwarder_observer() = default;

  /// The caller of a flow that was placed here has followed it up.
  virtual void on_handshake(const open_flow& /*flow*/, time_point /*now*/) {}
  /// The first data of a flow that was placed here, with its request's id.
  virtual void on_opened(const open_flow& /*flow*/,
                         const known_upstream& /*upstream*/,
                         time_point /*now*/) {}
  /// `flow` names the new upstream and `silent` the one before.
  virtual void on_placed_again(const open_flow& /*flow*/,
                               const known_upstream& /*upstream*/,
                               const known_upstream& /*silent*/,
                               duration /*waited*/, repeat_cause /*cause*/,
                               time_point /*now*/) {}
  virtual void on_refused(const flow_packet& /*packet*/, fate_reason /*reason*/,
                          const std::string& /*route*/,
                          const std::string& /*service*/,
                          const upstream_census& /*census*/,
                          time_point /*now*/) {}
  virtual void on_unanswered(const open_flow& /*flow*/,
                             const known_upstream& /*upstream*/,
                             time_point /*now*/) {}
  virtual void on_discarded(const flow_packet& /*packet*/,
                            fate_reason /*reason*/, time_point /*now*/) {}
  /// The caller has ended a flow that was placed here.
  virtual void on_ended(const open_flow& /*flow*/,
                        const known_upstream& /*upstream*/,
                        time_point /*now*/) {}
  /// The answer to a request of a flow that was placed here is far shorter than
  /// most of its route (`usual_bytes`), or has not come in time.
  virtual void on_failed(const open_flow& /*flow*/,
                         const known_upstream& /*upstream*/,
                         double /*usual_bytes*/, time_point /*now*/) {}
  /// `failures`: those of the data centre's callers that are not forgotten yet.
  virtual void on_ejected(const known_upstream& /*upstream*/,
                          double /*failures*/, time_point /*now*/) {}
  virtual void on_restored(const known_upstream& /*upstream*/,
                           time_point /*now*/) {}
  virtual void on_silent(const open_flow& /*flow*/,
                         const known_upstream& /*upstream*/, int /*unanswered*/,
                         time_point /*now*/) {}
  virtual void on_answers(const open_flow& /*flow*/,
                          const known_upstream& /*upstream*/,
                          duration /*spared*/, time_point /*now*/) {}
};

}  // namespace rosemarydrum
