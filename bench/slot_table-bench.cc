#include <benchmark/benchmark.h>

#include <deque>

#include "rosemarydrum/slots/slot_table.h"

namespace rosemarydrum {
namespace {

constexpr data_centre_id home{1};
constexpr service_id the_service{1};
constexpr balancer_run self{balancer_id(1), incarnation(1)};

configuration one_service(int upstreams, std::uint16_t slots) {
  configuration current;
  current.data_centres[home].id = home;
  service& only = current.services[the_service];
  only.id = the_service;
  for (int i = 1; i <= upstreams; ++i) {
    only.upstreams.push_back(
        {upstream_id(i), home, {}, slots, service_state::in});
  }
  return current;
}

/// A table of warm upstreams with 70 % of the slots in use.
struct loaded_table {
  loaded_table(int upstreams, std::uint16_t slots) {
    actions out;
    table.set_configuration(one_service(upstreams, slots), {}, out);
    table.tick(now, out);
    const shard_id held[] = {shard_of(the_service)};
    table.on_limits({}, held);
    table.set_authority(held[0], slot_authority::sole, {}, true, now, out);
    for (int i = 0; i < upstreams * slots * 7 / 10; ++i) {
      ask(out);
    }
  }

  void ask(actions& out) {
    slot_ask wanted;
    wanted.ask = ++last_ask;
    wanted.service = the_service;
    wanted.opens_flow = true;
    wanted.time_left_ms = 1000;
    wanted.data_centre = home;
    out.clear();
    table.on_ask(self, wanted, now, out);
    const auto& sent = std::get<send_to_peer>(out.front());
    running.push_back(std::get<slot_answer>(sent.body));
  }
  void release_oldest(actions& out) {
    slot_release release;
    release.grant = running.front().grant;
    release.service = the_service;
    release.upstream = running.front().upstream;
    release.upstream_run = incarnation(1);
    release.latency_us = 20'000;
    running.pop_front();
    out.clear();
    table.on_release(self, release, now, out);
  }

  slot_table table{{self, home}};
  time_point now{seconds(10)};
  std::uint64_t last_ask = 0;
  std::deque<slot_answer> running;
};

// Measures only the decision for a new flow; target 2 µs (design, section 9).
// The release between two decisions is excluded, but the cost of pausing the
// timer is included.
void decide_new_flow(benchmark::State& state) {
  loaded_table loaded(static_cast<int>(state.range(0)),
                      static_cast<std::uint16_t>(state.range(1)));
  actions out;
  int since_tick = 0;
  for (auto _ : state) {
    const auto start = std::chrono::steady_clock::now();
    loaded.ask(out);
    const std::chrono::duration<double> taken =
        std::chrono::steady_clock::now() - start;
    state.SetIterationTime(taken.count());
    loaded.release_oldest(out);
    loaded.now += microseconds(333);
    if (++since_tick == 30) {
      since_tick = 0;
      loaded.table.tick(loaded.now, out);
    }
  }
}
BENCHMARK(decide_new_flow)
    ->Args({14, 3})
    ->Args({14, 4})
    ->Args({100, 4})
    ->UseManualTime();

// Measures a full cycle: decision, release and the tick every 10 ms.
void decide_and_release(benchmark::State& state) {
  loaded_table loaded(static_cast<int>(state.range(0)),
                      static_cast<std::uint16_t>(state.range(1)));
  actions out;
  int since_tick = 0;
  for (auto _ : state) {
    loaded.ask(out);
    loaded.release_oldest(out);
    loaded.now += microseconds(333);
    if (++since_tick == 30) {
      since_tick = 0;
      loaded.table.tick(loaded.now, out);
    }
  }
}
BENCHMARK(decide_and_release)->Args({14, 3})->Args({14, 4})->Args({100, 4});

}  // namespace
}  // namespace rosemarydrum

BENCHMARK_MAIN();
