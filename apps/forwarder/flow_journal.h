#pragma once

#include "forwarder/forwarder_metrics.h"
#include "log/event_logger.h"
#include "rosemarydrum/forwarding/forwarder_observer.h"

namespace rosemarydrum {

/// What decisions rest on, for their lines in the log.
struct belief {
  /// The operators' version of the configuration.
  std::uint64_t configuration = 0;
  revision known{};
  time_point confirmed_at;
};

/// Logs and counts the forwarder's decisions.
class flow_journal : public forwarder_observer {
 public:
  flow_journal(event_logger& log, data_metrics& metrics)
      : log_(log), metrics_(metrics) {}

  void set_belief(const belief& now) { belief_ = now; }

  void on_handshake(const open_flow& flow, time_point now) override;
  void on_opened(const open_flow& flow, const known_upstream& upstream,
                 time_point now) override;
  void on_placed_again(const open_flow& flow, const known_upstream& upstream,
                       const known_upstream& silent, duration waited,
                       repeat_cause cause, time_point now) override;
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
  void on_silent(const open_flow& flow, const known_upstream& upstream,
                 int unanswered, time_point now) override;
  void on_answers(const open_flow& flow, const known_upstream& upstream,
                  duration spared, time_point now) override;

  /// The datagram was no whole packet.
  void on_malformed(time_point now);
  void on_stall(duration stalled, time_point now);
  void on_ability(bool unable, int opened, int failed, duration pause,
                  time_point now);

 private:
  /// Adds revision and age of what is known.
  boost::json::object with_belief(boost::json::object fields,
                                  time_point now) const;

  event_logger& log_;
  data_metrics& metrics_;
  belief belief_;
};

}  // namespace rosemarydrum
