#pragma once

#include "forwarder/forwarder_metrics.h"
#include "log/event_logger.h"
#include "rosemarydrum/forwarding/forwarder_observer.h"

namespace rosemarydrum {

/// Version and age of the state that decisions are based on.
struct known_state {
  /// Version that the operators gave the configuration.
  std::uint64_t configuration = 0;
  revision known_revision{};
  time_point confirmed_at;
};

/// Logs and counts the forwarder's decisions.
class flow_journal : public forwarder_observer {
 public:
  flow_journal(event_logger& log, data_metrics& metrics)
      : log_(log), metrics_(metrics) {}

  void set_known_state(const known_state& state) { known_state_ = state; }

  void on_handshake(const open_flow& flow, time_point now) override;
  void on_opened(const open_flow& flow, const known_upstream& upstream,
                 time_point now) override;
  void on_placed_again(const open_flow& flow, const known_upstream& upstream,
                       const known_upstream& silent, duration waited,
                       repeat_cause cause, time_point now) override;
  void on_retagged(const open_flow& flow, const known_upstream& upstream,
                   const known_upstream& other, time_point now) override;
  void on_refused(const flow_packet& packet, verdict_reason reason,
                  const std::string& route, const std::string& service,
                  const upstream_counts& counts, time_point now) override;
  void on_unanswered(const open_flow& flow, const known_upstream& upstream,
                     time_point now) override;
  void on_discarded(const flow_packet& packet, verdict_reason reason,
                    time_point now) override;
  void on_ended(const open_flow& flow, const known_upstream& upstream,
                time_point now) override;
  void on_failed(const open_flow& flow, const known_upstream& upstream,
                 double usual_bytes, time_point now) override;
  void on_ejected(const known_upstream& upstream, double failures,
                  time_point now) override;
  void on_restored(const known_upstream& upstream, time_point now) override;
  void on_slow_start_entered(const known_upstream& upstream,
                             time_point now) override;
  void on_slow_start_left(const known_upstream& upstream,
                          time_point now) override;
  void on_silent(const open_flow& flow, const known_upstream& upstream,
                 int unanswered, time_point now) override;
  void on_flow_stalled(const open_flow& flow, const known_upstream& upstream,
                       time_point now) override;
  void on_suspected(const known_upstream& upstream, incarnation reporter,
                    time_point sent, time_point now) override;
  void on_unresponsive(const known_upstream& upstream, std::size_t losses,
                       time_point now) override;
  void on_reset(const open_flow& flow, const known_upstream& upstream,
                time_point now) override;
  void on_limit_change(const limit_change& change, time_point now) override;
  void on_answers(const open_flow& flow, const known_upstream& upstream,
                  duration spared, time_point now) override;

  /// Called for a datagram that cannot be decoded.
  void on_malformed(time_point now);
  void on_stall(duration stalled, time_point now);
  void on_ability(bool unable, int opened, int failed, duration pause,
                  time_point now);

 private:
  /// Adds the configuration version, and the revision and age of the known
  /// state.
  boost::json::object with_known_state(boost::json::object fields,
                                       time_point now) const;

  event_logger& log_;
  data_metrics& metrics_;
  known_state known_state_;
};

}  // namespace rosemarydrum
