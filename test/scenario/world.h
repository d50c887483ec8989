#pragma once

#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "checker.h"
#include "fake_caller.h"
#include "fake_upstream.h"
#include "rosemarydrum/balancer/balancer.h"
#include "rosemarydrum/configuration/config_codec.h"
#include "simulation.h"

namespace rosemarydrum::scenario {

/// Simulates data centres with balancers, upstreams, callers, the fabric and
/// the store. Only the balancer cores are real code.
class world {
 public:
  world(simulation& sim, checker& checks, std::uint16_t data_centres,
        std::uint32_t balancers_each);

  void add_service(std::uint32_t number, std::uint16_t upstreams_each,
                   std::uint16_t slots, duration service_time);
  /// Writes the configuration to the store and starts all balancers.
  void start();
  void add_load(const load_profile& profile);

  // Faults. Balancers are numbered from 1 on over all data centres.
  void kill(std::uint32_t balancer);
  void start_balancer(std::uint32_t balancer);
  void stop(std::uint32_t balancer);
  void freeze(std::uint32_t balancer, duration length);
  /// Drops what is sent from `from` to `to`; each is b<number>, d<number> or
  /// store.
  void cut(const std::string& from, const std::string& to, bool both_ways);
  void heal(const std::string& from, const std::string& to);
  void set_store(bool up) { store_up_ = up; }
  /// From now on the store returns its documents as they are at this moment.
  void make_store_stale() { stale_documents_ = documents_; }
  void set_data_centre(std::uint16_t number, service_state state);
  void set_upstream(std::uint32_t number, service_state state);
  void turn_cold(std::uint32_t upstream) { upstream_at(upstream).turn_cold(); }
  void restart_upstream(std::uint32_t upstream);
  void set_loss(double part) { loss_ = part; }
  /// Disables a mechanism of the balancers or upstreams, to show that the
  /// expectations are not met without it.
  void disable_mechanism(const std::string& mechanism);
  void warm_up();
  void finish();

 private:
  struct node {
    balancer_run run;
    data_centre_id data_centre{};
    endpoint address;
    std::unique_ptr<balancer> core;
    bool frozen = false;
    bool healthy = false;
    revision last_read{};
    std::vector<std::function<void()>> pending;
  };
  struct upstream_process {
    service_id service{};
    data_centre_id data_centre{};
    std::unique_ptr<fake_upstream> fake;
    time_point out_since = time_point::max();
  };

  using input = std::function<void(balancer&, balancer_output&)>;
  void deliver(std::uint32_t to, const input& callback);
  void emit(std::uint32_t from, balancer_output out);
  void print_events(const std::vector<event_record>& events) const;
  void emit_to_peer(std::uint32_t from, peer_datagram d);
  void emit_to_upstream(std::uint32_t from, const upstream_datagram& d);
  void fabric_send(std::size_t load, const packet& p);
  void tick();
  void poll_store();
  void check_configuration();
  /// Measures the traffic to an upstream that operators have taken out.
  void check_traffic_to_out(const upstream_process& to,
                            const packet_header& sent);
  void write(const std::string& key, std::string text);
  void write_service(service_id id);
  void write_data_centre(data_centre_id id);
  /// Applies the disabled mechanisms to a peer message. Returns whether the
  /// message must not be delivered.
  bool intercepts(peer_message& m, std::uint32_t from, std::uint32_t to);
  bool connected(const std::string& from, const std::string& to) const;
  bool reaches(std::uint32_t from, std::uint32_t to) const;
  duration latency(data_centre_id a, data_centre_id b);
  fake_upstream& upstream_at(std::uint32_t n) {
    return *upstreams_.at(upstream_id(n)).fake;
  }

  simulation& sim_;
  checker& checks_;
  std::map<std::uint32_t, node> nodes_;
  std::map<upstream_id, upstream_process> upstreams_;
  std::map<endpoint, upstream_id> upstream_addresses_;
  configuration config_;
  std::map<std::string, document> documents_;
  std::map<std::string, document> stale_documents_;
  std::uint64_t store_revision_ = 0;
  std::vector<std::pair<time_point, revision>> writes_;
  /// Number of writes that all healthy balancers have applied.
  std::size_t applied_writes_ = 0;
  bool store_up_ = true;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::vector<std::unique_ptr<fake_caller>> loads_;
  std::vector<load_profile> profiles_;
  std::set<std::string> disabled_mechanisms_;
  double loss_ = 0;
  bool running_ = true;
  /// Prints the balancers' events to stderr as they occur.
  bool prints_events_ = std::getenv("ROSEMARYDRUM_SCENARIO_EVENTS") != nullptr;
};

}  // namespace rosemarydrum::scenario
