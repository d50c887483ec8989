#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "nodes.h"
#include "packet.h"
#include "store.h"

namespace review {

/// The client's and the route's address and port.
struct flow_key {
  std::uint32_t client = 0;
  std::uint16_t client_port = 0;
  std::uint32_t service = 0;
  std::uint16_t service_port = 0;
  friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

std::string text_of(const flow_key& flow);

/// What a backend holds of a flow.
struct held_flow {
  std::uint32_t next_expected = 0;
  std::uint32_t next_seq = 0;
  std::uint32_t echo = 0;
  bool open = false;
  time_point opened_at;
  int opening_copies = 0;
  std::string answer;
  std::uint32_t answer_seq = 0;
  bool answer_acknowledged = true;
  std::uint64_t packets = 0;
};

struct backend {
  std::string id;
  std::uint64_t number = 0;
  std::string service;
  std::string zone;
  std::uint32_t ip = 0;
  int fd = -1;
  std::string state = "ready";
  milliseconds work{20};
  /// Cold until then.
  time_point cold_until;
  /// The entry as it was written last.
  std::string entry;
  std::map<flow_key, held_flow> flows;
};

/// What a client holds of a flow.
struct client_flow {
  flow_key key;
  std::string zone;
  std::uint32_t seq = 0;
  std::uint32_t acknowledged = 0;
  std::uint32_t echo = 0;
  enum { opening, open, failed } state = opening;
  time_point began;
  time_point last_packet;
  time_point syn_sent;
  /// The request that waits for its answer.
  std::string request;
  std::uint32_t request_seq = 0;
  std::string request_id;
  bool waiting = false;
  int asked = 0;
  int answered = 0;
  bool was_reset = false;
  /// The echo came from a backend that doesn't hold the open flow.
  bool foreign_echo = false;
};

/// An opening packet that a backend took.
struct taken_opening {
  std::string backend;
  /// When the client sent its latest copy, and when the backend got it.
  time_point sent;
  time_point arrived;
  bool cold = false;
};

/// A reset that a client got on an open flow.
struct received_reset {
  flow_key flow;
  std::string sender;
  std::string holder;
  time_point at;
};

/// The clients and backends of a deployment, which speak PROTOCOL.md.
class ends {
 public:
  ends(event_loop& loop, machines& fleet, store& data, std::uint64_t seed);

  backend& add_backend(const std::string& service, const std::string& zone,
                       const std::string& ip);
  /// Writes the backend's entry, unless only `Seq` would change.
  void write_entry(backend& of);
  /// Lets each backend write its entry at this interval, from random times on.
  void beat(milliseconds interval);
  /// Binds the client's address.
  void add_client(const std::string& ip);
  /// Opens a flow and sends a first request when it is open.
  client_flow& open_flow(const std::string& zone, std::uint32_t client,
                         std::uint16_t port, std::uint32_t service,
                         std::uint16_t service_port);
  void ask(client_flow& flow);

  /// Share of the datagrams that links lose.
  double loss = 0;
  std::uint64_t lost = 0;
  std::uint64_t sent = 0;
  std::vector<received_reset> resets;
  std::vector<taken_opening> openings;
  std::map<flow_key, std::unique_ptr<client_flow>> flows;
  std::vector<std::unique_ptr<backend>> backends;
  /// The backend that holds the open flow; empty if none.
  std::string holder_of(const flow_key& flow) const;
  /// Requests that were run, by id, with the backend's id.
  std::multimap<std::string, std::string> runs;
  /// Packets whose content isn't what their sender wrote.
  int altered_packets = 0;
  std::function<void(const std::string&)> note = [](const std::string&) {};

 private:
  bool is_lost();
  void on_backend_readable(backend& at);
  void on_packet(backend& at, const packet& read);
  void send_from(backend& from, const flow_key& flow, const held_flow& held,
                 std::uint8_t flags, std::uint32_t seq,
                 const std::string& data);
  void refuse(backend& from, const packet& read);
  void repeat_opening(backend& of, const flow_key& flow, int copy);
  void repeat_answer(backend& of, const flow_key& flow, std::uint32_t seq,
                     int copy);
  void on_client_readable(int fd);
  void on_packet(client_flow& flow, const packet& read, std::uint32_t from);
  void send_from(client_flow& flow, std::uint8_t flags, std::uint32_t seq,
                 const std::string& data, std::uint32_t acknowledged);
  void repeat_syn(client_flow& flow, int copy);
  void repeat_request(client_flow& flow, int number, int copy);
  backend* at(std::uint32_t ip);

  event_loop& loop_;
  machines& fleet_;
  store& data_;
  std::mt19937_64 random_;
  int router_;
  std::uint16_t backend_port_;
  std::uint64_t next_request_ = 0;
  std::uint64_t next_backend_ = 0x1a0000;
};

}  // namespace review
