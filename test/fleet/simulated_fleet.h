#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/fake_callers.h"
#include "fleet/fake_kv_store.h"
#include "fleet/fake_sessions.h"
#include "fleet/fake_upstream.h"
#include "fleet/platform_texts.h"
#include "fleet/scheduler.h"
#include "fleet/test_node.h"

namespace rosemarydrum {

/// Simulates forwarders, upstreams and callers of a few data centres with the
/// fake store and links that can be cut, on a simulated clock.
class simulated_fleet {
 public:
  static constexpr duration remote_delay = milliseconds(5);
  static constexpr duration local_delay = microseconds(200);
  static constexpr duration caller_delay = milliseconds(3);

  explicit simulated_fleet(const std::vector<std::string>& data_centres);

  test_node& add_node(const std::string& name, const std::string& data_centre,
                      std::uint32_t capacity = 250);
  /// Stops a node without notice.
  void kill(const std::string& name);
  /// Replaces a killed node by a new process.
  void restart(const std::string& name);
  /// Suspends a node for `time`; messages and packets that arrive are queued.
  void freeze(const std::string& name, duration time);

  /// Starts an upstream with the id "i-" followed by `hex_id`, and writes its
  /// entry.
  fake_upstream& add_upstream(const std::string& hex_id,
                              platform_texts::entry entry = {});
  void write_entry(const std::string& hex_id);
  /// Removes the entry of an upstream that has left.
  void remove_entry(const std::string& hex_id);

  void configure(std::int64_t version,
                 const std::vector<platform_texts::route_text>& routes = {{}});
  void evacuate(const std::string& data_centre) {
    evacuated_.insert(data_centre);
    store.put(platform_texts::evacuation_key(data_centre), "{}");
  }
  void end_evacuation(const std::string& data_centre) {
    evacuated_.erase(data_centre);
    store.remove(platform_texts::evacuation_key(data_centre));
  }

  /// Makes the store unavailable for `away`, then restores it from a copy that
  /// was taken `copy_age` before now. Operators and upstreams write what was
  /// lost again `rewritten_after` its return.
  void restore_store(duration copy_age, duration away,
                     duration rewritten_after);

  /// Cuts `data_centre` off from the other data centres and from the store.
  void cut(const std::string& data_centre);
  void heal(const std::string& data_centre);
  /// Drops all packets between two data centres.
  void cut_between(const std::string& one, const std::string& other);

  /// Sends a request of a caller in `data_centre` to the default route.
  void request(const std::string& data_centre);
  /// Sends requests at a constant rate for `time` from each data centre.
  void load(double per_second, duration time);
  void run_for(duration time) { clock.run_for(time); }

  std::size_t served() const;
  std::size_t failed() const { return callers.outcomes.size() - served(); }
  /// Number of served requests that took longer than `bound`.
  std::size_t served_slower_than(duration bound) const;
  int store_calls() const;

  scheduler clock;
  fake_kv_store store{clock};
  std::map<std::string, std::unique_ptr<test_node>> nodes;
  std::map<std::string, std::unique_ptr<fake_upstream>> upstreams;
  fake_callers callers;
  fake_sessions sessions;
  /// Bytes that members have fetched from each other.
  std::size_t fetched_bytes = 0;

 private:
  bool is_cut(const std::string& one, const std::string& other) const;
  test_node* route_to(const std::string& data_centre, std::uint64_t hash);
  void send_packet(const std::string& data_centre, const flow_ends& flow,
                   const bytes& datagram);
  void deliver(test_node& node, const flow_ends& flow, const bytes& datagram);
  void forward(const std::string& from_centre, const packet_verdict& verdict,
               const bytes& datagram);
  void answer(fake_upstream& from, const upstream_answer& sent);
  void repeat_handshake_after(duration wait, int copy, fake_upstream& from,
                              const flow_ends& flow);
  void reset(const flow_ends& flow);
  void schedule_tick(test_node& node);
  void send(const test_node& from, const spread_datagram& datagram);
  void fetch(test_node& requester, const fetch_request& request);
  void run_health_checks();
  void write_lost_items();

  /// Addresses of the members that new processes ask first.
  std::vector<endpoint> seeds_;
  std::vector<std::string> data_centres_;
  std::vector<std::unique_ptr<test_node>> replaced_nodes_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::uint8_t next_node_ = 1;
  /// What operators have written last.
  std::string configuration_;
  std::set<std::string> evacuated_;
};

}  // namespace rosemarydrum
