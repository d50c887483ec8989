#include "fleet/fake_callers.h"

#include "fleet/test_packets.h"

namespace rosemarydrum {
namespace {

constexpr int retries = 2;
constexpr milliseconds first_copy_delay{200};
constexpr milliseconds second_copy_delay{600};
constexpr milliseconds attempt_timeout{1400};
constexpr milliseconds deadline{2000};
constexpr std::uint32_t first_port = 1024;
constexpr std::uint32_t port_count = 60'000;

}  // namespace

/// A request that has not ended, and the flow of its current attempt.
struct fake_callers::active_request {
  std::size_t number = 0;
  std::string data_centre;
  endpoint service;
  flow_ends flow;
  int retries_left = retries;
  time_point began;
  bool is_open = false;
  bool is_done = false;
  std::uint32_t echo = 0;
  std::uint32_t acknowledged = 0;
};

fake_callers::fake_callers(timeline& time, callbacks to,
                           std::uint32_t first_address)
    : time_(time), to_(std::move(to)), first_address_(first_address) {}

std::size_t fake_callers::request(const std::string& data_centre,
                                  const endpoint& service) {
  auto active = std::make_shared<active_request>();
  active->number = ++next_request_;
  active->data_centre = data_centre;
  active->service = service;
  active->began = time_.now();
  outcomes[active->number].began = active->began;
  start(active);
  return active->number;
}

void fake_callers::start(const std::shared_ptr<active_request>& active) {
  const auto next = next_port_++;
  active->flow = {{first_address_ + next % caller_addresses,
                   static_cast<std::uint16_t>(first_port + next % port_count)},
                  active->service};
  active->is_open = false;
  active->echo = 0;
  active_requests_[active->flow] = active;
  send(*active, test_packets::syn, 0, {});
  send_copy_after(first_copy_delay, 1, active);
  send_copy_after(second_copy_delay, 2, active);
  time_.after(attempt_timeout, [this, active, flow = active->flow] {
    if (!active->is_done && !active->is_open && active->flow == flow) {
      finish(active, false);
    }
  });
  time_.after(deadline, [this, active, flow = active->flow] {
    if (!active->is_done && active->flow == flow) {
      active->retries_left = 0;
      finish(active, false);
    }
  });
}

void fake_callers::send_copy_after(
    duration delay, std::uint32_t copy_number,
    const std::shared_ptr<active_request>& active) {
  time_.after(delay, [this, active, copy_number, flow = active->flow] {
    if (!active->is_done && !active->is_open && active->flow == flow) {
      send(*active, test_packets::syn, copy_number, {});
    }
  });
}

void fake_callers::send(const active_request& active, std::uint8_t flags,
                        std::uint32_t acknowledged, const std::string& data) {
  to_.send(active.data_centre, active.flow,
           test_packets::datagram_of(
               {active.flow, flags, 7, acknowledged, active.echo}, data));
}

void fake_callers::on_answer(const upstream_answer& answer) {
  const auto found = active_requests_.find(answer.flow);
  if (found == active_requests_.end()) {
    return;
  }
  const auto active = found->second;
  active->echo = answer.echo;
  switch (answer.kind) {
    case answer_kind::handshake:
      if (!std::exchange(active->is_open, true)) {
        outcomes[active->number].upstream = answer.upstream;
        active->acknowledged = answer.sequence + 1;
        send(*active, test_packets::ack, active->acknowledged, {});
        send(*active, test_packets::ack, active->acknowledged,
             "GET / HTTP/1.1\r\nHost: desk\r\nX-Request-Id: r" +
                 std::to_string(active->number) + "\r\n\r\n");
      }
      return;
    case answer_kind::response:
      send(*active, test_packets::fin | test_packets::ack,
           active->acknowledged + answer.bytes, {});
      finish(active, true);
      return;
    case answer_kind::reset:
      finish(active, false);
      return;
  }
}

void fake_callers::on_reset(const flow_ends& flow) {
  const auto found = active_requests_.find(flow);
  if (found != active_requests_.end()) {
    const auto active = found->second;
    outcomes[active->number].was_reset = true;
    finish(active, false);
  }
}

bool fake_callers::is_open(const flow_ends& flow) const {
  const auto found = active_requests_.find(flow);
  return found != active_requests_.end() && found->second->is_open;
}

void fake_callers::finish(const std::shared_ptr<active_request>& active,
                          bool served) {
  active_requests_.erase(active->flow);
  auto& outcome = outcomes[active->number];
  const auto took = time_.now() - active->began;
  if (!served && active->retries_left > 0 && took < deadline) {
    --active->retries_left;
    start(active);
    return;
  }
  active->is_done = true;
  outcome.ended = true;
  outcome.served = served && took <= deadline;
  outcome.took = took;
}

}  // namespace rosemarydrum
