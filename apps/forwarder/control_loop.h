#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "forwarder/forwarder_rings.h"
#include "io/http_connection.h"
#include "io/http_server.h"
#include "io/runtime_timer.h"
#include "rosemarydrum/forwarding/fleet_schema.h"
#include "rosemarydrum/spread/member_registration.h"
#include "rosemarydrum/spread/replica_spread.h"
#include "rosemarydrum/store/item_replica.h"
#include "rosemarydrum/store/store_follower.h"
#include "rosemarydrum/store/value_reader.h"

namespace rosemarydrum {

struct control_settings {
  spread_settings spread;
  /// Removed items are remembered this long.
  duration memory = seconds(120);
};

/// The thread that knows what the store holds: it follows the store or another
/// member, tells the others, and says whether this process is ready.
class control_loop {
 public:
  struct sockets {
    boost::asio::ip::udp::socket peers;
    boost::asio::ip::tcp::acceptor peer_calls;
  };

  control_loop(boost::asio::io_context& context, sockets bound, kv_store& store,
               const fleet_schema& schema, control_settings settings,
               forwarder_rings& joined);

  void start();
  /// A planned stop: not ready any more, and other members take over.
  void leave();
  /// Whether the fabric should send callers here.
  bool is_ready() const;

 private:
  void wait_tick();
  void tick(time_point now);
  void wait_readable();
  void receive_messages();
  void on_listing(const item_listing& shown, time_point asked);
  void carry_out(spread_output& out);
  void pass_on(const std::vector<kv_item>& fresh, time_point now);
  void fetch(const endpoint& member, revision after);
  http_page answer_peer(std::string_view target) const;

  boost::asio::io_context& context_;
  boost::asio::ip::udp::socket peers_;
  http_server peer_calls_;
  const fleet_schema& schema_;
  control_settings settings_;
  forwarder_rings& rings_;
  item_replica replica_;
  replica_spread spread_;
  store_follower follower_;
  value_reader values_;
  member_registration registration_;
  runtime_timer timer_;
  time_point last_tick_;
  time_point next_sweep_;
  std::shared_ptr<http_connection> fetching_;
  std::uint64_t members_told_ = 0;
  bool was_fresh_ = false;
  bool has_configuration_ = false;
  bool unable_ = false;
  bool leaving_ = false;
  /// Until then, removed entries may have lapsed while the store was away.
  time_point lapses_until_;
  std::vector<std::uint8_t> buffer_;
};

}  // namespace rosemarydrum
