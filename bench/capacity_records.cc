#include "capacity_memory.h"
#include "capacity_parts.h"
#include "capacity_sizes.h"
#include "capacity_slope.h"
#include "rosemarydrum/events/event_log.h"
#include "rosemarydrum/requests/request_owner.h"
#include "rosemarydrum/requests/request_witness.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum::bench {
namespace {

constexpr time_point start{seconds(1000)};

void add_answered(request_owner& owner, std::uint64_t number) {
  owned_request request;
  request.key = {caller_id(1), service_id(1), flow_id(number),
                 request_id(number)};
  auto& header = request.datagram.header;
  header.idempotent = true;
  header.time_left_ms = 1000;
  header.service = request.key.service;
  header.flow = request.key.flow;
  header.request = request.key.request;
  request.idempotent = true;
  actions out;
  owner.on_request(request, start, out);
  slot_answer grant;
  for (const auto& next : out) {
    if (const auto* asked = std::get_if<ask_slot>(&next)) {
      grant.ask = asked->ask.ask;
    }
  }
  grant.grant = grant_id(number);
  grant.service = request.key.service;
  grant.upstream = upstream_id(1);
  grant.run_time_ms = 1000;
  out.clear();
  owner.on_slot_answer({balancer_id(2), incarnation(2)}, grant, start, out);
  packet answer;
  for (const auto& next : out) {
    if (const auto* sent = std::get_if<send_to_upstream>(&next)) {
      answer.header = sent->datagram.header;
    }
  }
  answer.header.kind = packet_kind::answer;
  answer.header.upstream_run = incarnation(5);
  answer.header.send_by = 0;
  answer.payload.resize(200);
  out.clear();
  owner.on_upstream_packet(upstream_id(1), answer, start, out);
}

}  // namespace

void measure_records() {
  const token_codec tokens(bytes(16, 1));
  slope kept("kept-request-memory", "B/request");
  slope records("witness-memory", "B/record");
  for (const int count : sizes) {
    auto memory = allocated_bytes();
    {
      request_owner owner({.self = {balancer_id(1), incarnation(1)},
                           .max_requests = 2'000'000,
                           .max_kept_bytes = std::size_t{2} << 30},
                          tokens, 1);
      for (int i = 1; i <= count; ++i) {
        add_answered(owner, i);
      }
      require(
          owner.unfinished() == 0 && owner.knows({caller_id(1), service_id(1),
                                                  flow_id(1), request_id(1)}),
          "owner did not keep the answered requests");
      kept.add(count, allocated_since(memory));
    }
    memory = allocated_bytes();
    request_witness witness({balancer_id(1), incarnation(1)}, 2'000'000);
    const auto expires = runtime_clock::to_unix(start + seconds(60));
    for (int i = 1; i <= count; ++i) {
      const auto key = flow(i);
      witness.on_record(
          {{key.caller, key.service, key.flow, request_id(i)}, expires}, start);
    }
    require(witness.size() == static_cast<std::size_t>(count),
            "witness does not hold every record");
    records.add(count, allocated_since(memory));
  }
  kept.print();
  records.print();
  slope events("event-memory", "B/event");
  for (const int count : {64, 640, 6'400, 64'000}) {
    const auto memory = allocated_bytes();
    event_log log({balancer_id(1), incarnation(1)});
    auto now = start;
    for (int i = 0; i < count; ++i) {
      now += milliseconds(11);
      event_record event;
      event.id = event_id::flow_bound;
      require(log.add(event, now).has_value(),
              "event was not added to the log");
    }
    events.add(count, allocated_since(memory));
  }
  events.print();
}

}  // namespace rosemarydrum::bench
