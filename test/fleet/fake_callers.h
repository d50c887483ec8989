#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fleet/fake_upstream.h"
#include "fleet/timeline.h"
#include "rosemarydrum/forwarding/flow_packet.h"

namespace rosemarydrum {

/// How a caller's request ended.
struct request_outcome {
  time_point began;
  bool ended = false;
  bool served = false;
  bool was_reset = false;
  /// From its first packet.
  duration took{0};
  std::string upstream;
};

inline constexpr std::uint32_t caller_addresses = 10;

/// Callers by the platform's protocol: each request opens a flow, sends copies
/// of the opening packet after 200 and 600 ms, gives the attempt up after 1.4
/// s, and has two further attempts within its deadline of 2 s.
class fake_callers {
 public:
  struct wiring {
    /// Sends a packet of a caller of the data centre.
    std::function<void(const std::string& data_centre, const flow_ends& flow,
                       const bytes& datagram)>
        send;
  };

  /// Callers have `caller_addresses` addresses from `first_address` on.
  fake_callers(timeline& time, wiring to,
               std::uint32_t first_address = 0x64400001);

  /// Returns the request's number in `outcomes`.
  std::size_t request(const std::string& data_centre, const endpoint& service);
  void on_answer(const upstream_answer& answer);
  /// A reset of the system.
  void on_reset(const flow_ends& flow);
  /// Whether the flow's upstream has answered it and it has not ended.
  bool is_open(const flow_ends& flow) const;

  std::map<std::size_t, request_outcome> outcomes;

 private:
  struct attempt;

  void start(const std::shared_ptr<attempt>& run);
  void send(const attempt& run, std::uint8_t flags, std::uint32_t acknowledged,
            const std::string& data);
  void send_copy_after(duration wait, std::uint32_t copies,
                       const std::shared_ptr<attempt>& run);
  void finish(const std::shared_ptr<attempt>& run, bool served);

  timeline& time_;
  wiring to_;
  std::map<flow_ends, std::shared_ptr<attempt>> attempts_;
  std::uint32_t first_address_;
  std::size_t next_request_ = 0;
  std::uint32_t next_port_ = 0;
};

}  // namespace rosemarydrum
