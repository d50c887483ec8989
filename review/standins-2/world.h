#pragma once

#include <boost/asio.hpp>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "packet.h"
#include "store.h"

/// A small deployment on loopback: forwarder processes with the command and
/// the template of the deploy file, and stand-ins for the platform's store and
/// routers, for clients and for backends.
namespace review {

using ms = std::chrono::milliseconds;
using moment = std::chrono::steady_clock::time_point;

struct flow_key {
  std::uint32_t client = 0;
  std::uint16_t port = 0;
  std::uint32_t route = 0;
  std::uint16_t route_port = 0;
  auto operator<=>(const flow_key&) const = default;
};

/// Figures of the small site file sites/ledgerwood-belfry.toml.
constexpr ms client_delay{3};
constexpr ms in_zone_delay{0};
constexpr ms cross_zone_delay{5};
constexpr ms stability{4000};
constexpr int backend_slots = 4;
constexpr std::size_t backend_queue = 16;
constexpr std::uint32_t reset_window = 76'800;

struct node {
  std::string name;
  std::string zone;
  std::string ip;
  int pid = 0;
  bool ready = false;
  int misses = 0;
  /// When the process was last started, stopped, frozen or woken.
  moment disturbed;
  /// Whether it has been told to stop by SIGTERM.
  bool stopping = false;
};

struct client_flow;

struct backend {
  struct flow {
    bool open = false;
    std::uint32_t first = 0;
    std::uint32_t echo = 0;
    std::uint32_t received = 0;
    std::uint32_t sent = 0;
    std::uint32_t acked = 0;
    /// End of what has been sent at least once.
    std::uint32_t pushed = 0;
    std::string unacked;
    int tries = 0;
    std::uint64_t timer = 0;
    /// When its opening packet was sent and when it arrived.
    moment opening_sent;
    moment opening_arrived;
  };
  struct job {
    flow_key key;
    std::string id;
  };
  std::string id;
  std::uint64_t key = 0;
  std::string service;
  std::string zone;
  std::string ip;
  bool alive = true;
  /// Number of its present start; work of an earlier one has no effect.
  int incarnation = 0;
  bool listening = true;
  /// Time from an opening packet to its answer.
  ms handshake_time{0};
  std::map<flow_key, flow> flows;
  std::deque<job> queue;
  int busy = 0;
  moment disturbed;
  std::unique_ptr<asio::ip::udp::socket> socket;
  asio::ip::udp::endpoint from;
  bytes buffer = bytes(4096);
};

struct client_flow {
  flow_key key;
  std::string zone;
  bool open = false;
  bool closed = false;
  bool was_reset = false;
  /// The backend that has the end of the handshake.
  backend* owner = nullptr;
  moment opened;
  /// When its latest opening packet was sent.
  moment opening_sent;
  std::uint32_t first = 0;
  std::uint32_t sent = 0;
  std::uint32_t acked_by_server = 0;
  std::uint32_t received = 0;
  std::uint32_t echo = 0;
  int unacknowledged = 0;
  std::map<std::uint32_t, std::string> early;
  /// The request that is being sent or awaits its answer.
  std::string request;
  std::string request_id;
  moment request_began;
  bool idempotent = true;
  std::size_t wanted = 0;
  std::string answer;
  std::function<void(client_flow&)> on_open;
  std::function<void(client_flow&, const std::string& outcome)> on_answer;
  std::string wrong_packets;
  /// The machines that have carried its packets.
  std::set<const node*> carriers;
};

class world {
 public:
  /// `folder` is a temporary one for settings files and logs, `record` the file
  /// of the events.
  world(asio::io_context& io, std::string folder, const std::string& record);
  ~world();

  // Layout.
  node& add_node(const std::string& zone);
  backend& add_backend(const std::string& service, const std::string& zone);
  void write_config();
  void write_entry(const backend& each, int cold_ms = 0);

  // Processes.
  void start(node& each);
  void send_signal(node& each, int signal);
  bool has_ended(node& each);

  /// The backend crashes: it discards its flows and sends nothing.
  void crash(backend& each);
  /// It starts again under the id and the address that it had.
  void restart(backend& each);

  // Clients.
  std::shared_ptr<client_flow> open_flow(
      const std::string& zone, const std::string& service,
      std::function<void(client_flow&)> on_open);
  /// Sends a request of `size` bytes on an open flow.
  void request(const std::shared_ptr<client_flow>& flow, std::size_t size,
               bool idempotent,
               std::function<void(client_flow&, const std::string&)> done);
  void close(const std::shared_ptr<client_flow>& flow);
  node* route(const std::string& zone, const flow_key& key);

  void after(std::chrono::microseconds delay, std::function<void()> run);
  void record(const std::string& what);
  void fail(const std::string& rule, const std::string& what);
  double now_s() const;

  /// Work of a request in milliseconds.
  std::function<int(const std::string& id)> work = [](auto&) { return 55; };
  std::function<std::size_t(const std::string& id)> answer_bytes = [](auto&) {
    return std::size_t{4000};
  };
  /// Whether the network loses this packet between a machine and a backend.
  std::function<bool(const packet&, const node*, backend&)> loses =
      [](auto&, auto*, auto&) { return false; };
  std::function<bool(const packet&, backend&)> loses_answer = [](auto&, auto&) {
    return false;
  };
  /// A flow has been opened at the backend.
  std::function<void(backend&, const backend::flow&)> on_opened = [](auto&,
                                                                     auto&) {};
  /// Additional time of an answer on its way to the client.
  std::function<ms(const packet&, backend&)> delays_answer = [](auto&, auto&) {
    return ms(0);
  };

  asio::io_context& io;
  review::store store;
  std::mt19937_64 random{1};
  std::deque<node> nodes;
  std::deque<backend> backends;
  std::map<flow_key, std::shared_ptr<client_flow>> flows;
  std::map<std::string, int> runs;
  std::set<std::string> sent_ids;
  std::uint64_t datagrams = 0;
  std::uint64_t lost = 0;
  int broken = 0;
  int version = 0;
  std::vector<std::string> services{"chime", "archive"};
  /// Type of the routes.
  std::string route_type = "idempotent";

 private:
  struct client_socket {
    std::unique_ptr<asio::ip::udp::socket> socket;
    asio::ip::udp::endpoint from;
    bytes buffer = bytes(4096);
  };

  void check_ready(node& each);
  void on_checked(node& each, bool good);
  void receive(backend& at);
  void receive(client_socket& at);
  void to_backend(backend& at, std::uint64_t intended, const packet& from,
                  const node* through);
  void on_reset(const packet& from, const node* sender);
  const node* node_at(const std::string& ip) const;
  void to_client(backend& from, packet each);
  void on_packet(client_flow& flow, backend& from, const packet& each);
  void send(client_flow& flow, std::uint8_t flags, std::uint32_t acked,
            const std::string& data, std::uint32_t seq);
  void send_request(const std::weak_ptr<client_flow>& weak,
                    const std::string& id, ms wait);
  void send_open(const std::weak_ptr<client_flow>& weak, std::uint32_t copy);
  void take_data(client_flow& flow, const packet& each);
  void end(client_flow& flow, const std::string& outcome);
  void run_next(backend& at);
  void answer(backend& at, const flow_key& key, const std::string& id,
              int status);
  void push(backend& at, const flow_key& key);
  void push_again_later(backend& at, const flow_key& key, std::uint64_t timer);
  void send_data(backend& at, const flow_key& key, std::uint32_t seq,
                 std::size_t size);
  std::string settings_of(const node& each) const;
  bool is_in_touch(const node& each) const;
  std::uint32_t route_address(const std::string& service) const;

  std::string folder_;
  std::ofstream record_;
  moment began_ = std::chrono::steady_clock::now();
  int network_ = 0;
  std::uint16_t data_port_ = 0;
  std::uint16_t ready_port_ = 0;
  std::uint16_t peer_port_ = 0;
  std::uint16_t backend_port_ = 0;
  std::deque<client_socket> client_sockets_;
  std::unique_ptr<asio::ip::udp::socket> sender_;
  std::uint16_t next_port_ = 20'000;
  std::uint64_t next_request_ = 0;
  std::uint64_t next_timer_ = 0;
  bool ended_ = false;
};

}  // namespace review
