#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "forwarder/belief_journal.h"
#include "forwarder/forwarder_rings.h"
#include "forwarder/measured_store.h"
#include "io/http_connection.h"
#include "io/http_server.h"
#include "io/runtime_timer.h"
#include "rosemarydrum/events/logical_clock.h"
#include "rosemarydrum/forwarding/fleet_schema.h"
#include "rosemarydrum/spread/member_registration.h"
#include "rosemarydrum/spread/replica_spread.h"
#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/store/store_follower.h"
#include "rosemarydrum/store/value_reader.h"

namespace rosemarydrum {

/// The thread that knows what the store holds: it follows the store or another
/// member, tells the others, and says whether this process is ready.
class control_loop {
 public:
  struct sockets {
    boost::asio::ip::udp::socket peers;
    boost::asio::ip::tcp::acceptor peer_calls;
  };

  control_loop(boost::asio::io_context& context, sockets bound, kv_store& store,
               const fleet_schema& schema, spread_settings settings,
               forwarder_rings& joined, event_logger log, logical_clock& clock);

  void start();
  /// A planned stop: not ready any more, and other members take over.
  void leave();
  /// Whether the fabric should send callers here.
  bool is_ready() const;
  /// Seeds and the longest age of a reloaded settings file.
  void configure(std::vector<endpoint> seeds, milliseconds longest_age);
  /// Takes new limits of the log to the data thread as well.
  void set_log(std::uint32_t flows, event_severity severity);

  event_logger& log() { return log_; }
  /// What the data thread last told of itself.
  const data_metrics& data() const { return report_.metrics; }
  /// The text of the metrics address.
  std::string metrics() const;

 private:
  void wait_tick();
  void tick(time_point now);
  void wait_readable();
  void receive_messages();
  void on_listing(const item_listing& shown, time_point asked);
  void carry_out(spread_output& out);
  void pass_on(const std::vector<kv_item>& fresh, time_point now);
  /// The change that the item stands for; nullopt if it is none.
  std::optional<fleet_change> decode(const kv_item& item, time_point now);
  void fetch(const endpoint& member, revision after);
  http_page answer_peer(std::string_view target) const;
  std::string_view unready_reason() const;

  boost::asio::io_context& context_;
  boost::asio::ip::udp::socket peers_;
  http_server peer_calls_;
  const fleet_schema& schema_;
  forwarder_rings& rings_;
  event_logger log_;
  logical_clock& clock_;
  measured_store store_;
  item_replica replica_;
  belief_journal journal_;
  replica_spread spread_;
  store_follower follower_;
  value_reader values_;
  member_registration registration_;
  runtime_timer timer_;
  time_point last_tick_;
  time_point next_sweep_;
  time_point next_pass_;
  time_point next_summary_;
  std::shared_ptr<http_connection> fetching_;
  std::uint64_t members_told_ = 0;
  bool was_fresh_ = false;
  bool was_registered_ = false;
  std::uint64_t configuration_ = 0;
  bool leaving_ = false;
  /// Until then, removed entries may have lapsed while the store was away.
  time_point lapses_until_;
  data_report report_;
  control_metrics metrics_;
  std::vector<std::uint8_t> buffer_;
};

}  // namespace rosemarydrum
