#include "fleet/fake_callers.h"

#include "fleet/test_packets.h"

namespace rosemarydrum {
namespace {

constexpr int retries = 2;
constexpr milliseconds first_copy{200};
constexpr milliseconds second_copy{600};
constexpr milliseconds attempt_time{1400};
constexpr milliseconds deadline{2000};
constexpr std::uint32_t first_port = 1024;
constexpr std::uint32_t ports = 60'000;

}  // namespace

/// One flow of a request.
struct fake_callers::attempt {
  std::size_t number = 0;
  std::string data_centre;
  endpoint service;
  flow_ends flow;
  int tries_left = retries;
  time_point began;
  bool open = false;
  bool done = false;
  std::uint32_t echo = 0;
};

fake_callers::fake_callers(timeline& time, wiring to,
                           std::uint32_t first_address)
    : time_(time), to_(std::move(to)), first_address_(first_address) {}

std::size_t fake_callers::request(const std::string& data_centre,
                                  const endpoint& service) {
  auto run = std::make_shared<attempt>();
  run->number = ++next_request_;
  run->data_centre = data_centre;
  run->service = service;
  run->began = time_.now();
  outcomes[run->number].began = run->began;
  start(run);
  return run->number;
}

void fake_callers::start(const std::shared_ptr<attempt>& run) {
  const auto next = next_port_++;
  run->flow = {{first_address_ + next % caller_addresses,
                static_cast<std::uint16_t>(first_port + next % ports)},
               run->service};
  run->open = false;
  run->echo = 0;
  attempts_[run->flow] = run;
  send(*run, test_packets::syn, 0, {});
  send_copy_after(first_copy, 1, run);
  send_copy_after(second_copy, 2, run);
  time_.after(attempt_time, [this, run, flow = run->flow] {
    if (!run->done && !run->open && run->flow == flow) {
      finish(run, false);
    }
  });
  time_.after(deadline, [this, run, flow = run->flow] {
    if (!run->done && run->flow == flow) {
      run->tries_left = 0;
      finish(run, false);
    }
  });
}

void fake_callers::send_copy_after(duration wait, std::uint32_t copies,
                                   const std::shared_ptr<attempt>& run) {
  time_.after(wait, [this, run, copies, flow = run->flow] {
    if (!run->done && !run->open && run->flow == flow) {
      send(*run, test_packets::syn, copies, {});
    }
  });
}

void fake_callers::send(const attempt& run, std::uint8_t flags,
                        std::uint32_t acknowledged, const std::string& data) {
  to_.send(run.data_centre, run.flow,
           test_packets::datagram_of(
               {run.flow, flags, 7, acknowledged, run.echo}, data));
}

void fake_callers::on_answer(const upstream_answer& answer) {
  const auto found = attempts_.find(answer.flow);
  if (found == attempts_.end()) {
    return;
  }
  const auto run = found->second;
  run->echo = answer.echo;
  switch (answer.kind) {
    case answer_kind::handshake:
      if (!std::exchange(run->open, true)) {
        outcomes[run->number].upstream = answer.upstream;
        send(*run, test_packets::ack, 1, {});
        send(*run, test_packets::ack, 1,
             "GET / HTTP/1.1\r\nHost: desk\r\nX-Request-Id: r" +
                 std::to_string(run->number) + "\r\n\r\n");
      }
      return;
    case answer_kind::response:
      send(*run, test_packets::fin | test_packets::ack, 1 + answer.bytes, {});
      finish(run, true);
      return;
    case answer_kind::reset:
      finish(run, false);
      return;
  }
}

void fake_callers::on_reset(const flow_ends& flow) {
  const auto found = attempts_.find(flow);
  if (found != attempts_.end()) {
    const auto run = found->second;
    outcomes[run->number].was_reset = true;
    finish(run, false);
  }
}

bool fake_callers::is_open(const flow_ends& flow) const {
  const auto found = attempts_.find(flow);
  return found != attempts_.end() && found->second->open;
}

void fake_callers::finish(const std::shared_ptr<attempt>& run, bool served) {
  attempts_.erase(run->flow);
  auto& outcome = outcomes[run->number];
  const auto took = time_.now() - run->began;
  if (!served && run->tries_left > 0 && took < deadline) {
    --run->tries_left;
    start(run);
    return;
  }
  run->done = true;
  outcome.ended = true;
  outcome.served = served && took <= deadline;
  outcome.took = took;
}

}  // namespace rosemarydrum
