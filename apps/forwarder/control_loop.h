#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "forwarder/forwarder_rings.h"
#include "forwarder/measured_store.h"
#include "forwarder/state_journal.h"
#include "io/http_connection.h"
#include "io/http_server.h"
#include "io/runtime_timer.h"
#include "rosemarydrum/events/logical_clock.h"
#include "rosemarydrum/forwarding/fleet_agent.h"

namespace rosemarydrum {

/// Runs the fleet_agent on the control thread: exchanges items with the store
/// and the other members, and decides whether this process is ready.
class control_loop : private fleet_agent_host {
 public:
  struct sockets {
    boost::asio::ip::udp::socket peers;
    boost::asio::ip::tcp::acceptor peer_calls;
  };

  control_loop(boost::asio::io_context& context, sockets bound, kv_store& store,
               const fleet_schema& schema, const spread_settings& settings,
               forwarder_rings& rings, event_logger log, logical_clock& clock);

  void start();
  /// Starts a planned stop: the process is no longer ready and other members
  /// take over.
  void leave();
  /// Returns whether the fabric should send callers to this process.
  bool is_ready() const { return unready_reason().empty(); }
  /// Applies the seeds and the maximum age of reloaded settings.
  void configure(std::vector<endpoint> seeds, milliseconds max_age);
  /// Applies new log limits to this thread and to the data thread.
  void set_log(std::uint32_t flows, event_severity severity);

  event_logger& log() { return log_; }
  /// Returns the metrics of the last report of the data thread.
  const data_metrics& data() const { return report_.metrics; }
  /// Returns the text that the metrics address serves.
  std::string metrics() const;

 private:
  void send(const spread_datagram& datagram) override;
  void fetch(const fetch_request& request) override;
  void on_fetched(const http_answer& answer);
  void update(fleet_update update) override;
  void on_change(const fleet_change& change, time_point now) override;
  void on_rejected(revision changed, time_point now) override;
  void on_listed(const listing_effect& effect, time_point now) override;
  void on_kept(const kept_item& kept, time_point now) override;
  void on_ignored(const fleet_change& change, time_point now) override;
  void on_member(const kv_item& item, time_point now) override;
  void on_registered(bool written, time_point now) override;
  void on_store(error_kind error, time_point now) override;

  void take_report(data_report&& report);
  void wait_tick();
  void tick(time_point now);
  void wait_readable();
  void receive_messages();
  std::optional<spread_message> message_for(std::string_view target) const;
  http_response answer_peer(std::string_view target) const;
  std::string_view unready_reason() const;

  boost::asio::io_context& context_;
  boost::asio::ip::udp::socket peers_;
  http_server peer_calls_;
  forwarder_rings& rings_;
  event_logger log_;
  logical_clock& clock_;
  measured_store store_;
  fleet_agent agent_;
  state_journal journal_;
  runtime_timer timer_;
  time_point last_tick_;
  time_point next_summary_;
  std::shared_ptr<http_connection> fetching_;
  bool leaving_ = false;
  data_report report_;
  control_metrics metrics_;
  std::vector<std::uint8_t> buffer_;
};

}  // namespace rosemarydrum
