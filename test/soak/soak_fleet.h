#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "child_process.h"
#include "fleet/fake_callers.h"
#include "fleet/fake_kv_store.h"
#include "fleet/fake_upstream.h"
#include "io/http_connection.h"
#include "soak/fault_proxy.h"
#include "soak/guarantee_checker.h"
#include "soak/kv_server.h"
#include "soak/live_timeline.h"

namespace rosemarydrum {

struct soak_settings {
  std::string program;
  std::uint64_t seed = 1;
  int data_centres = 3;
  int forwarders_each = 2;
  int upstreams_each = 3;
  double requests_per_second = 60;
};

/// The real forwarder as separate processes on loopback addresses, between
/// callers and upstreams of this process, with a store behind fault proxies.
class soak_fleet {
 public:
  struct forwarder_process {
    std::string name;
    std::string data_centre;
    std::string address;
    std::unique_ptr<fault_proxy> store;
    std::unique_ptr<child_process> process;
    std::shared_ptr<http_connection> checks;
    bool expected_to_run = false;
    bool paused = false;
    bool in_rotation = false;
    int missed_checks = 0;
  };

  soak_fleet(boost::asio::io_context& io, soak_settings settings);
  ~soak_fleet();

  void start_forwarder(forwarder_process& node);
  void kill_forwarder(forwarder_process& node);
  void start_load();
  void stop_load() { loading_ = false; }

  fake_upstream& add_upstream(const std::string& service,
                              const std::string& data_centre, int cold_ms);
  /// Restarts the upstream under its id and address; it is cold at first.
  void restart_upstream(fake_upstream& upstream, int cold_ms);
  void write_entry(const fake_upstream& upstream);
  void configure();

  /// Checks that the expected processes run and that their logs are readable.
  void check_processes();
  /// Returns the number of requests that began between the two times and were
  /// not served.
  std::size_t unserved(time_point from, time_point to) const;

  live_timeline time;
  /// Used for faults only, so that a seed repeats the same faults.
  std::mt19937_64 random;
  fake_kv_store store{[] { return runtime_clock::now(); }};
  guarantee_checker checks;
  std::vector<std::unique_ptr<forwarder_process>> nodes;
  std::map<std::string, std::unique_ptr<fake_upstream>> upstreams;
  std::vector<std::string> data_centres;
  /// Services that the two routes lead to.
  std::string first_service = "desk";
  std::string second_service = "vault";
  std::int64_t version = 0;
  std::unique_ptr<fake_callers> callers;

 private:
  struct receiver;

  void receive(receiver& at);
  void on_upstream_datagram(fake_upstream& upstream, const std::string& from,
                            const bytes& datagram);
  void on_caller_datagram(const bytes& datagram);
  void send_packet(const std::string& data_centre, const flow_ends& flow,
                   const bytes& datagram);
  forwarder_process* route_to(const std::string& data_centre,
                              std::uint64_t hash);
  void check_ready(forwarder_process& node);
  void next_request();
  std::string node_at(const std::string& address) const;
  std::uint16_t free_port();

  boost::asio::io_context& io_;
  soak_settings settings_;
  kv_server server_;
  std::uint16_t data_port_;
  std::uint16_t upstream_port_;
  boost::asio::ip::udp::socket sender_;
  std::vector<std::unique_ptr<receiver>> receivers_;
  /// The upstream of each open flow, learned from the upstreams' answers.
  std::map<flow_ends, std::string> owners_;
  platform::packet_codec codec_;
  std::mt19937_64 load_random_;
  int next_upstream_ = 1;
  bool loading_ = false;
};

}  // namespace rosemarydrum
