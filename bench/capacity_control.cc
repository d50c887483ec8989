#include <functional>
#include <numeric>
#include <utility>

#include "capacity_cell.h"
#include "capacity_memory.h"
#include "capacity_parts.h"
#include "capacity_sizes.h"
#include "rosemarydrum/configuration/config_sync.h"
#include "rosemarydrum/requests/token.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum::bench {
namespace {

constexpr time_point start{seconds(1000)};

peer_message message_of(peer_body body) {
  peer_message message;
  message.from = {balancer_id(1), incarnation(0x123456789abcdef)};
  message.to_run = incarnation(0xfedcba987654321);
  message.logical_time = 1'000'000;
  message.body = std::move(body);
  return message;
}

/// Returns the processor time, in microseconds, that a balancer needs for the
/// ticks of one second while it receives nothing from the `members` balancers
/// of another data centre.
double remote_tick_us(std::uint32_t members) {
  balancer_output out;
  balancer alone(settings_of(1), start);
  const std::vector<document> documents{
      data_centre_document(home, 1, members, 1),
      data_centre_document(data_centre_id(2), 1 + members, members, 2)};
  alone.on_store_documents(documents, start, out);
  auto now = start;
  return time_of(2, 100,
                 [&] {
                   now += milliseconds(10);
                   out.clear();
                   alone.tick(now, out);
                 }) *
         100;
}

}  // namespace

void measure_cell() {
  slope beat_bytes("heartbeat-bytes", "B/s/member");
  slope cold_bytes("cold-heartbeat-bytes", "B/s/member");
  slope beat_time("heartbeat-time", "us/s/member");
  slope change_bytes("change-bytes", "B/member");
  for (const std::uint32_t members : {2, 4, 8, 16, 32, 64, 128}) {
    // Without services no heartbeat lists cold upstreams.
    cell quiet(members, 0);
    require(quiet.is_settled(revision(1)),
            "cell without services did not settle");
    quiet.heartbeat_bytes = 0;
    const int periods = members < 32 ? 10 : 1;
    const double before = processor_us();
    quiet.advance(seconds(3 * periods));
    const double per_second = 1.0 / (3 * periods * members);
    beat_time.add(members, (processor_us() - before) * per_second);
    beat_bytes.add(members, quiet.heartbeat_bytes * per_second);
    // All 140 upstreams are cold and fill the lists.
    cell cold(members, 10);
    require(cold.is_settled(revision(11)),
            "cell with cold upstreams did not settle");
    cold.heartbeat_bytes = 0;
    cold.advance(seconds(3));
    cold_bytes.add(members, cold.heartbeat_bytes / (3 * members));
    cold.configuration_bytes = 0;
    cold.deliver_document(service_document(1, usual_upstreams, 12));
    cold.advance(seconds(3));
    require(cold.is_settled(revision(12)),
            "cell did not settle after the change");
    change_bytes.add(members, cold.configuration_bytes);
  }
  beat_bytes.print();
  cold_bytes.print();
  beat_time.print();
  change_bytes.print();
  slope remote("remote-contact-time", "us/s/pair");
  for (const std::uint32_t members : {8, 32, 128, 512}) {
    remote.add(static_cast<double>(members) * members, remote_tick_us(members));
  }
  remote.print();
}

void measure_join() {
  slope join_bytes("join-bytes", "B/service");
  slope join_time("join-time", "ms/service");
  for (const std::uint32_t services : {10, 100, 1'000, 10'000}) {
    cell both(2, services);
    both.configuration_bytes = 0;
    both.restart_last();
    int waited_ms = 0;
    for (; !both.last_is_ready(revision(1 + services)); waited_ms += 10) {
      require(waited_ms < 60'000, "restarted balancer not ready within 60 s");
      both.advance(milliseconds(10));
    }
    join_bytes.add(services, both.configuration_bytes);
    join_time.add(services, waited_ms);
  }
  join_bytes.print();
  join_time.print();
}

void measure_configuration() {
  slope document_bytes("document-bytes", "B/service");
  slope reader_memory("config-memory", "B/service");
  slope reader_time("config-decode-time", "us/service");
  slope node_memory("balancer-config-memory", "B/service");
  slope node_time("change-time", "us/service");
  slope tick_time("tick-time", "us/service");
  slope packet_time("token-packet-time", "ns/service");
  for (const std::uint32_t services : {10, 100, 1'000, 10'000}) {
    const auto documents = make_documents(8, services);
    double bytes_shown = 0;
    for (const auto& shown : documents) {
      bytes_shown += static_cast<double>(shown.text.size());
    }
    document_bytes.add(services, bytes_shown);
    {
      actions ignored;
      const auto memory = allocated_bytes();
      config_sync reader(start);
      const double before = processor_us();
      reader.on_documents(documents, true, {}, start, ignored);
      reader_time.add(services, processor_us() - before);
      ignored = {};
      reader_memory.add(services,
                        static_cast<double>(allocated_bytes() - memory));
    }
    const auto memory = allocated_bytes();
    balancer_output out;
    balancer node(settings_of(1), start);
    node.on_store_documents(documents, start, out);
    require(node.current_configuration().services.size() == services,
            "balancer did not load every service");
    out = {};
    node_memory.add(services, static_cast<double>(allocated_bytes() - memory));
    auto now = start + seconds(2);
    node.tick(now, out);
    std::uint64_t changed = services + 1;
    node_time.add(services, time_of(3, 1, [&] {
                    const auto next =
                        service_document(1, usual_upstreams, ++changed);
                    node.on_store_documents({&next, 1}, now, out);
                  }));
    require(node.current_configuration().highest.number == changed,
            "balancer did not apply every change");
    tick_time.add(services, time_of(3, 100, [&] {
                    now += milliseconds(10);
                    out.clear();
                    node.tick(now, out);
                  }));
    const token_codec tokens(bytes(16, 1));
    token t;
    t.flow = {caller_id(1), service_id(1), flow_id(7)};
    t.upstream = {upstream_id(1), incarnation(1)};
    t.expires = runtime_clock::to_unix(now + seconds(60));
    packet p;
    p.header.kind = packet_kind::flow_data;
    p.header.service = t.flow.service;
    p.header.flow = t.flow.flow;
    p.token = tokens.seal(t);
    p.payload.resize(200);
    const auto datagram =
        encode({{0xc0a80001, 9}, {0x0a000001, 80}}, encode(p));
    std::size_t passed = 0;
    packet_time.add(services, 1000 * time_of(5, 10'000, [&] {
                                out.clear();
                                node.on_fabric(datagram, now, out);
                                passed += out.to_upstreams.size();
                              }));
    require(passed == 50'000, "a flow packet was not forwarded");
  }
  for (const auto* each :
       {&document_bytes, &reader_memory, &reader_time, &node_memory, &node_time,
        &tick_time, &packet_time}) {
    each->print();
  }
}

void measure_messages() {
  const auto size_of = [](const peer_message& message) {
    return static_cast<double>(encode(message).size());
  };
  slope slots("slot-bytes", "B/request");
  slope slot_codec("slot-codec-time", "us/request");
  slope records("record-bytes", "B/request");
  slope grants("handover-bytes", "B/grant");
  for (const int count : {1, 10, 100, 1'000, 4'000}) {
    std::vector<peer_message> slot_messages;
    std::vector<peer_message> record_messages;
    lease_handover handover;
    for (int i = 1; i <= count; ++i) {
      const auto number = static_cast<std::uint64_t>(i) * 0x9e3779b97f4a7c15;
      const request_key key{caller_id(1), service_id(1), flow_id(number),
                            request_id(i)};
      const upstream_run up{upstream_id(i), incarnation(number)};
      slot_ask ask;
      ask.ask = i;
      ask.service = key.service;
      ask.flow = key.flow;
      ask.caller = key.caller;
      ask.request = key.request;
      ask.opens_flow = true;
      ask.time_left_ms = 1000;
      ask.data_centre = home;
      slot_messages.push_back(message_of(ask));
      slot_messages.push_back(
          message_of(slot_answer{ask.ask, error_kind::none, grant_id(number),
                                 ask.service, up.id, up.run, 1000}));
      slot_messages.push_back(
          message_of(slot_release{grant_id(number), ask.service, up.id, up.run,
                                  attempt_outcome::answered, 20'000, 2}));
      record_messages.push_back(message_of(record_ask{key, 1'800'000'000'000}));
      record_messages.push_back(message_of(record_answer{key, true}));
      handover.grants.push_back(
          {grant_id(number), key.service, upstream_id(i), 900});
    }
    const auto sum = [&](const std::vector<peer_message>& messages) {
      return std::transform_reduce(messages.begin(), messages.end(), 0.0,
                                   std::plus<>(), size_of);
    };
    slots.add(count, sum(slot_messages));
    slot_codec.add(count, time_of(20, 1, [&] {
                     for (const auto& message : slot_messages) {
                       require(decode_peer_message(encode(message)) == message,
                               "slot message changed by encoding");
                     }
                   }));
    records.add(count, sum(record_messages));
    grants.add(count, size_of(message_of(handover)));
  }
  slots.print();
  slot_codec.print();
  records.print();
  grants.print();
}

}  // namespace rosemarydrum::bench
