#include <benchmark/benchmark.h>

#include <random>

#include "rosemarydrum/flows/flow_table.h"
#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/requests/token.h"

namespace rosemarydrum {
namespace {

constexpr std::uint64_t flow_count = 300'000;
constexpr time_point now{seconds(1000)};

flow_key flow(std::uint64_t number) {
  return {caller_id(static_cast<std::uint32_t>(number % 20)),
          service_id(static_cast<std::uint32_t>(number % 16)),
          flow_id(number * 0x9e3779b97f4a7c15ULL)};
}

/// Flow numbers in random order, so that each access misses the caches.
std::vector<std::uint64_t> random_flows() {
  std::mt19937_64 random(1);
  std::vector<std::uint64_t> numbers(1 << 16);
  for (auto& number : numbers) {
    number = random() % flow_count;
  }
  return numbers;
}

/// Decodes a packet whose caller echoes the token, and verifies the token.
void known_flow_with_token(benchmark::State& state) {
  const token_codec codec(bytes(16, 1));
  token t;
  t.flow = flow(1);
  t.upstream = {upstream_id(3), incarnation(4)};
  packet p;
  p.header.kind = packet_kind::flow_data;
  p.header.flow = t.flow.flow;
  p.token = codec.seal(t);
  p.payload.resize(200);
  const bytes datagram = encode(p);
  for (auto _ : state) {
    const auto decoded = decode_packet(datagram);
    benchmark::DoNotOptimize(codec.open(decoded->token, t.flow));
  }
}
BENCHMARK(known_flow_with_token);

void open_token(benchmark::State& state) {
  const token_codec codec(bytes(16, 1));
  token t;
  t.flow = flow(1);
  const bytes sealed = codec.seal(t);
  for (auto _ : state) {
    benchmark::DoNotOptimize(codec.open(sealed, t.flow));
  }
}
BENCHMARK(open_token);

/// Looks up one of 300,000 flows that the table stores in full.
void find_bound_flow(benchmark::State& state) {
  flow_table table;
  for (std::uint64_t i = 0; i < flow_count; ++i) {
    table.bind(flow(i), {upstream_id(1 + i % 14), incarnation(1)}, false, now);
  }
  const auto numbers = random_flows();
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        table.find(flow(numbers[next++ % numbers.size()]), now));
  }
  state.counters["bytes_per_flow"] =
      static_cast<double>(table.memory_bytes()) / flow_count;
}
BENCHMARK(find_bound_flow);

/// Looks up one of 300,000 flows that a peer copied as fingerprints.
void find_copied_flow(benchmark::State& state) {
  configuration services;
  for (std::uint32_t s = 0; s < 16; ++s) {
    service listed;
    listed.id = service_id(s);
    listed.upstreams.resize(14);
    services.services[listed.id] = listed;
  }
  flow_table table;
  for (std::uint64_t i = 0; i < flow_count; ++i) {
    table.on_copy({flow(i).service, {flow_table::fingerprint(flow(i))}, {0}},
                  services, now);
  }
  const auto numbers = random_flows();
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        table.find(flow(numbers[next++ % numbers.size()]), now));
  }
}
BENCHMARK(find_copied_flow);

void bind_new_flow(benchmark::State& state) {
  flow_table table;
  std::uint64_t next = 0;
  for (auto _ : state) {
    const auto key = flow(next++ % 900'000);
    table.bind(key, {upstream_id(1 + next % 14), incarnation(1)}, false, now);
  }
}
BENCHMARK(bind_new_flow);

}  // namespace
}  // namespace rosemarydrum

BENCHMARK_MAIN();
