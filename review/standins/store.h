#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "event_loop.h"

namespace review {

/// The platform's metadata store of PROTOCOL.md over HTTP.
class store {
 public:
  store(event_loop& loop, std::uint32_t ip, std::uint16_t port);

  /// Writes as the operator and the backends do; returns the revision.
  std::uint64_t put(const std::string& key, const std::string& value,
                    std::uint64_t lease = 0);
  void remove(const std::string& key);
  bool has(const std::string& key) const { return items_.contains(key); }

  /// Answers all calls with 503 until `come_back`; leases run out meanwhile.
  void go_down();
  void come_back() { down_ = false; }

  /// Age of what reads with AllowStale return.
  milliseconds stale_lag{0};

 private:
  struct item {
    std::string value;
    std::uint64_t changed = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct change {
    std::string key;
    item now;
    bool removed = false;
    time_point at;
  };
  struct lease {
    milliseconds time_to_live{0};
    time_point ends;
  };
  struct session;
  struct call;

  void accept();
  void handle(const std::shared_ptr<session>& on, const call& wanted);
  std::string range(const call& wanted) const;
  std::string events_after(const std::string& prefix,
                           std::uint64_t after) const;
  bool has_events(const std::string& prefix, std::uint64_t after) const;
  int transact(const std::string& body, std::string& answer);
  void notify();
  void end_leases();
  std::map<std::string, item> items_at(time_point when) const;

  event_loop& loop_;
  int listener_;
  bool down_ = false;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 70000;
  std::map<std::string, item> items_;
  std::deque<change> history_;
  std::map<std::uint64_t, lease> leases_;
  std::vector<std::shared_ptr<session>> sessions_;
};

}  // namespace review
