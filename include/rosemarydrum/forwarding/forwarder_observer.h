#pragma once

#include "rosemarydrum/forwarding/flow_packet.h"
#include "rosemarydrum/forwarding/open_flows.h"
#include "rosemarydrum/forwarding/packet_verdict.h"
#include "rosemarydrum/forwarding/upstream_directory.h"
#include "rosemarydrum/overload/overload_control.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Why an opening packet was sent to another upstream.
enum class repeat_cause : std::uint8_t {
  /// The caller did not complete the handshake within the timeout.
  timeout,
  /// The caller retransmitted it.
  callers_copy,
};

/// Receives the forwarder's decisions, for logs and metrics. Each function is
/// called when its decision is made, before it is carried out.
class forwarder_observer {
 public:
  forwarder_observer() = default;
  forwarder_observer(const forwarder_observer&) = delete;
  forwarder_observer& operator=(const forwarder_observer&) = delete;
  virtual ~forwarder_observer() = default;

  /// The caller of a flow that was placed here has completed the handshake.
  virtual void on_handshake(const open_flow& /*flow*/, time_point /*now*/) {}
  /// The first data of a flow that was placed here has arrived; `flow.request`
  /// holds the id of its request.
  virtual void on_opened(const open_flow& /*flow*/,
                         const known_upstream& /*upstream*/,
                         time_point /*now*/) {}
  /// The opening packet goes to another upstream. `flow` holds the new one;
  /// `silent` is the previous one, which did not answer for `waited`.
  virtual void on_placed_again(const open_flow& /*flow*/,
                               const known_upstream& /*upstream*/,
                               const known_upstream& /*silent*/,
                               duration /*waited*/, repeat_cause /*cause*/,
                               time_point /*now*/) {}
  /// The opening packet goes once more to `other`, which was tried as well, so
  /// that a late answer of it names the flow's upstream.
  virtual void on_retagged(const open_flow& /*flow*/,
                           const known_upstream& /*upstream*/,
                           const known_upstream& /*other*/,
                           time_point /*now*/) {}
  /// The flow of the packet is reset.
  virtual void on_refused(const flow_packet& /*packet*/,
                          verdict_reason /*reason*/,
                          const std::string& /*route*/,
                          const std::string& /*service*/,
                          const upstream_counts& /*counts*/,
                          time_point /*now*/) {}
  /// New flows are limited because of an overload, or no longer.
  virtual void on_limit_change(const limit_change& /*change*/,
                               time_point /*now*/) {}
  /// A flow has expired before its handshake was completed.
  virtual void on_unanswered(const open_flow& /*flow*/,
                             const known_upstream& /*upstream*/,
                             time_point /*now*/) {}
  virtual void on_discarded(const flow_packet& /*packet*/,
                            verdict_reason /*reason*/, time_point /*now*/) {}
  /// The caller has ended a flow that was placed here.
  virtual void on_ended(const open_flow& /*flow*/,
                        const known_upstream& /*upstream*/,
                        time_point /*now*/) {}
  /// A request of a flow that was placed here has failed: its response is
  /// missing, has timed out or is far shorter than is usual for the route
  /// (`usual_bytes`).
  virtual void on_failed(const open_flow& /*flow*/,
                         const known_upstream& /*upstream*/,
                         double /*usual_bytes*/, time_point /*now*/) {}
  /// The upstream gets new flows only as a last resort, because of `failures`,
  /// the decayed number of failed flows in this data centre.
  virtual void on_ejected(const known_upstream& /*upstream*/,
                          double /*failures*/, time_point /*now*/) {}
  /// The ejection of the upstream has ended.
  virtual void on_restored(const known_upstream& /*upstream*/,
                           time_point /*now*/) {}
  /// The upstream has started or recovered: new flows to it are paced.
  virtual void on_slow_start_entered(const known_upstream& /*upstream*/,
                                     time_point /*now*/) {}
  /// New flows to the upstream are no longer paced.
  virtual void on_slow_start_left(const known_upstream& /*upstream*/,
                                  time_point /*now*/) {}
  /// The upstream left `unanswered` handshakes in a row unanswered and now
  /// counts as silent.
  virtual void on_silent(const open_flow& /*flow*/,
                         const known_upstream& /*upstream*/, int /*unanswered*/,
                         time_point /*now*/) {}
  /// The upstream may have been restarted: a handshake sent at `sent` was not
  /// answered, as a caller of `reporter` has seen; 0: of this process.
  virtual void on_suspected(const known_upstream& /*upstream*/,
                            incarnation /*reporter*/, time_point /*sent*/,
                            time_point /*now*/) {}
  /// The caller of a flow has sent the data of a request again.
  virtual void on_flow_stalled(const open_flow& /*flow*/,
                               const known_upstream& /*upstream*/,
                               time_point /*now*/) {}
  /// `losses` transmissions to the upstream were not acknowledged, and nobody
  /// has had an answer since the first.
  virtual void on_unresponsive(const known_upstream& /*upstream*/,
                               std::size_t /*losses*/, time_point /*now*/) {}
  /// An open flow of an unresponsive upstream is reset.
  virtual void on_reset(const open_flow& /*flow*/,
                        const known_upstream& /*upstream*/,
                        time_point /*now*/) {}
  /// A silent upstream has answered a handshake. It is treated as cold for
  /// `spared`.
  virtual void on_answers(const open_flow& /*flow*/,
                          const known_upstream& /*upstream*/,
                          duration /*spared*/, time_point /*now*/) {}
};

}  // namespace rosemarydrum
