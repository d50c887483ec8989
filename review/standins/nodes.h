#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "event_loop.h"

namespace review {

/// Ports that are the same on all machines of a deployment.
struct deployment_ports {
  std::uint16_t data;
  std::uint16_t ready;
  std::uint16_t control;
  std::uint16_t internal;
  std::uint16_t metrics;
  std::uint16_t store;
};

/// One machine with one process of the program under test.
struct node {
  std::string name;
  std::string zone;
  std::uint32_t ip = 0;
  int pid = -1;
  /// The platform starts the process again after it has ended.
  bool restarts = true;
  bool in_rotation = false;
  bool answered_probe = false;
  int missed_probes = 0;
  std::uint64_t starts = 0;
};

/// The machines of the platform: starts their processes with the deploy file's
/// command and template, probes them, and routes the packets of clients.
class machines {
 public:
  machines(event_loop& loop, deployment_ports ports, std::string folder);
  ~machines();

  node& add(const std::string& zone, const std::string& ip);
  void start(node& which);
  void send_signal(const node& which, int number);
  /// SIGTERM, then SIGKILL after `GraceS`; the process is started again.
  void terminate(node& which);

  /// The node to which the routers send a packet of this flow.
  node* route(const std::string& zone, std::uint64_t flow) const;
  bool all_in_rotation() const;
  node* at(std::uint32_t ip);
  std::vector<std::unique_ptr<node>>& all() { return nodes_; }

  const deployment_ports& ports() const { return ports_; }
  /// Processes that ended without a signal of the test.
  int own_ends = 0;

 private:
  void probe(node& which);
  void on_probe(node& which, bool ready);
  void reap();
  std::string settings_of(const node& which) const;

  event_loop& loop_;
  deployment_ports ports_;
  std::string folder_;
  std::string program_;
  std::string template_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::map<int, bool> signalled_;
};

}  // namespace review
