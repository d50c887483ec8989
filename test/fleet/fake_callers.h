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

/// Outcome of a caller's request.
struct request_outcome {
  time_point began;
  bool ended = false;
  bool served = false;
  bool was_reset = false;
  /// Time from its first packet to its end.
  duration took{0};
  std::string upstream;
};

inline constexpr std::uint32_t caller_addresses = 10;

/// Callers that follow the platform's protocol: each request opens a flow,
/// sends copies of the opening packet after 200 and 600 ms, abandons the
/// attempt after 1.4 s, and makes up to two more attempts within its deadline
/// of 2 s.
class fake_callers {
 public:
  struct callbacks {
    /// Sends a packet of a caller in the data centre.
    std::function<void(const std::string& data_centre, const flow_ends& flow,
                       const bytes& datagram)>
        send;
  };

  /// Callers use `caller_addresses` addresses, starting at `first_address`.
  fake_callers(timeline& time, callbacks to,
               std::uint32_t first_address = 0x64400001);

  /// Returns the request's number in `outcomes`.
  std::size_t request(const std::string& data_centre, const endpoint& service);
  void on_answer(const upstream_answer& answer);
  /// Handles a reset that the load balancer has sent.
  void on_reset(const flow_ends& flow);
  /// Whether the flow's handshake is complete and the flow has not ended.
  bool is_open(const flow_ends& flow) const;

  std::map<std::size_t, request_outcome> outcomes;

 private:
  struct active_request;

  void start(const std::shared_ptr<active_request>& active);
  void send(const active_request& active, std::uint8_t flags,
            std::uint32_t acknowledged, const std::string& data);
  void send_copy_after(duration delay, std::uint32_t copy_number,
                       const std::shared_ptr<active_request>& active);
  void finish(const std::shared_ptr<active_request>& active, bool served);

  timeline& time_;
  callbacks to_;
  std::map<flow_ends, std::shared_ptr<active_request>> active_requests_;
  std::uint32_t first_address_;
  std::size_t next_request_ = 0;
  std::uint32_t next_port_ = 0;
};

}  // namespace rosemarydrum
