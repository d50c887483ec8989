#include <random>

#include "capacity_documents.h"
#include "capacity_memory.h"
#include "capacity_parts.h"
#include "capacity_sizes.h"
#include "capacity_slope.h"
#include "rosemarydrum/flows/flow_table.h"
#include "rosemarydrum/requests/admission.h"
#include "rosemarydrum/slots/slot_table.h"

namespace rosemarydrum::bench {
namespace {

constexpr time_point start{seconds(1000)};

configuration make_configuration(std::uint32_t services, int upstreams) {
  configuration made;
  data_centre centre;
  centre.id = home;
  made.put(centre);
  for (std::uint32_t i = 1; i <= services; ++i) {
    made.put(make_service(i, upstreams));
  }
  return made;
}

/// Returns the bytes of copies for `flows` new flows per 100 ms of 2 services,
/// the share of one of 8 balancers that decide 16 services.
double copy_bytes(int flows, const configuration& services) {
  constexpr int rounds = 3;
  flow_table table;
  auto now = start;
  double total = 0;
  std::uint64_t next = 0;
  for (int round = 0; round < rounds; ++round) {
    for (int i = 0; i < flows; ++i) {
      auto key = flow(++next);
      key.service = service_id(static_cast<std::uint32_t>(1 + next % 2));
      const auto& target = services.services.at(key.service);
      table.bind(key, {target.upstreams[next % usual_upstreams].id, {}}, true,
                 now);
    }
    now += milliseconds(200);
    for (const auto& copy : table.take_copies(services, now)) {
      total += static_cast<double>(
          encode(peer_message{{balancer_id(1), incarnation(1)}, {}, 1, copy})
              .size());
    }
  }
  return total / rounds;
}

/// Returns the processor time of a slot decision and its release, in
/// microseconds, with 70 % of the slots of warm upstreams in use.
double decision_us(std::uint32_t services, int upstreams) {
  slot_table table({{balancer_id(1), incarnation(1)}, home});
  const auto current = make_configuration(services, upstreams);
  actions out;
  table.set_configuration(current, start, out);
  auto now = start + seconds(10);
  table.tick(now, out);
  for (std::uint16_t i = 0; i < shard_count; ++i) {
    const shard_id held[] = {shard_id(i)};
    table.on_limits({}, held);
    table.set_authority(held[0], slot_authority::sole, {}, true, now, out);
  }
  slot_ask wanted;
  wanted.opens_flow = true;
  wanted.time_left_ms = 10'000;
  wanted.data_centre = home;
  const int busy = upstreams * 4 * 7 / 10;
  double least = 1e300;
  std::vector<slot_answer> granted;
  const auto ask = [&](std::uint32_t number) {
    wanted.service = service_id(number);
    ++wanted.ask;
    out.clear();
    table.on_ask({balancer_id(1), incarnation(1)}, wanted, now, out);
    const auto& sent = std::get<send_to_peer>(out.front());
    granted.push_back(std::get<slot_answer>(sent.body));
    require(granted.back().error == error_kind::none, "slot request refused");
  };
  for (std::uint32_t number = 1; number <= services; ++number) {
    for (int i = 0; i < busy; ++i) {
      ask(number);
    }
  }
  for (int round = 0; round < 5; ++round) {
    constexpr int count = 1'000;
    granted.clear();
    const double before = processor_us();
    for (int i = 0; i < count; ++i) {
      ask(1 + static_cast<std::uint32_t>(i * 7919) % services);
      const auto& grant = granted.back();
      slot_release release;
      release.grant = grant.grant;
      release.service = grant.service;
      release.upstream = grant.upstream;
      release.upstream_run = incarnation(1);
      release.latency_us = 20'000;
      out.clear();
      table.on_release({balancer_id(1), incarnation(1)}, release, now, out);
    }
    least = std::min(least, (processor_us() - before) / count);
  }
  return least;
}

}  // namespace

void measure_flows() {
  const auto services = make_configuration(16, usual_upstreams);
  slope bound("flow-memory", "B/flow");
  slope copied("copied-flow-memory", "B/flow");
  slope known("known-flow-time", "ns/flow");
  for (const int flows : sizes) {
    auto memory = allocated_bytes();
    flow_table table({.max_flows = 2'000'000});
    for (int i = 1; i <= flows; ++i) {
      table.bind(flow(i), {upstream_id(1 + i % 14), incarnation(1)}, false,
                 start);
    }
    require(table.size() == static_cast<std::size_t>(flows),
            "flow table does not hold every bound flow");
    bound.add(flows, allocated_since(memory));
    std::mt19937_64 random(1);
    int found = 0;
    known.add(flows, 1000 * time_of(5, 100'000, [&] {
                       const auto number = 1 + random() % flows;
                       found += table.find(flow(number), start) ? 1 : 0;
                     }));
    require(found == 500'000, "flow table did not find every bound flow");
    memory = allocated_bytes();
    flow_table copies({.max_flows = 2'000'000});
    for (int i = 1; i <= flows; ++i) {
      copies.on_copy({flow(i).service, {flow_table::fingerprint(flow(i))}, {0}},
                     services, start);
    }
    copied.add(flows, allocated_since(memory));
  }
  bound.print();
  copied.print();
  known.print();
  slope copy("flow-copy-bytes", "B/flow");
  for (const int flows : {10, 30, 100, 300, 1'000, 3'000, 10'000}) {
    copy.add(flows, copy_bytes(flows, services));
  }
  copy.print();
}

void measure_slots() {
  slope by_upstream("slot-time", "us/upstream");
  for (const int upstreams : {4, 16, 64, 256, 1'024, 4'096}) {
    by_upstream.add(upstreams, decision_us(1, upstreams));
  }
  by_upstream.print();
  slope by_service("slot-service-time", "us/service");
  for (const std::uint32_t services : {10, 100, 1'000, 10'000}) {
    by_service.add(services, decision_us(services, usual_upstreams));
  }
  by_service.print();
  slope by_approval("admission-time", "ns/approval");
  for (const std::uint32_t approvals : {4, 40, 400, 4'000}) {
    configuration current;
    service target = make_service(1, usual_upstreams);
    target.approvals.clear();
    for (std::uint32_t i = 1; i <= approvals; ++i) {
      target.approvals.push_back({.caller = caller_id(i),
                                  .team = "callers",
                                  .source = {0xc0a80000 + (i << 8), 24},
                                  .requests_per_second = 10'000'000});
    }
    current.put(target);
    admission gate;
    const fabric_envelope envelope{{0xc0a80101, 9}, target.address};
    int admitted = 0;
    by_approval.add(approvals, 1000 * time_of(5, 2'000, [&] {
                                 const auto verdict = gate.admit(
                                     current, envelope, packet_kind::flow_data,
                                     8, start);
                                 admitted += verdict.target != nullptr ? 1 : 0;
                               }));
    require(admitted == 10'000, "a packet was not admitted");
  }
  by_approval.print();
}

}  // namespace rosemarydrum::bench
