#define BOOST_TEST_MODULE flow_table
#include "rosemarydrum/flows/flow_table.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>

#include "fixed_seed.h"
#include "rosemarydrum/configuration/configuration.h"

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(1000)};

flow_key flow(std::uint64_t number, std::uint32_t caller = 1) {
  return {caller_id(caller), service_id(1), flow_id(number)};
}
upstream_run run(std::uint32_t id, std::uint64_t run_number = 1) {
  return {upstream_id(id), incarnation(run_number)};
}

configuration three_upstreams() {
  configuration c;
  service s;
  s.id = service_id(1);
  for (std::uint32_t id = 1; id <= 3; ++id) {
    upstream u;
    u.id = upstream_id(id);
    s.upstreams.push_back(u);
  }
  c.services[s.id] = s;
  return c;
}

// Compares the table with a std::map. Guards against flows that move, are lost
// or reappear, and against a table that exceeds its limit.
RC_BOOST_PROP(matches_reference_map, ()) {
  struct bound {
    upstream_run upstream;
    time_point seen;
  };
  flow_table_settings settings;
  settings.max_flows = 20;
  settings.idle_time = seconds(10);
  flow_table table(settings);
  std::map<flow_key, bound> expected;
  time_point now = start;
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
      500, rc::gen::arbitrary<std::uint32_t>());
  for (const auto step : steps) {
    const auto key = flow(step % 15, 1 + step / 16 % 2);
    const auto upstream = run(1 + step / 32 % 3, 1 + step / 128 % 2);
    std::erase_if(expected, [now](const auto& entry) {
      return now - entry.second.seen >= seconds(10);
    });
    switch (step / 256 % 8) {
      case 0:
        table.erase(key);
        expected.erase(key);
        break;
      case 1:
        if (step % 5 == 0) {
          table.erase_upstream(upstream.id);
          std::erase_if(expected, [&](const auto& entry) {
            return entry.second.upstream.id == upstream.id;
          });
        }
        break;
      case 2:
        now += milliseconds(step / 2048 % 3000);
        break;
      case 3:
        // 64 ticks sweep the whole table. Until then it may hold idle flows.
        for (int i = 0; i < 64; ++i) {
          table.tick(now);
        }
        RC_ASSERT(table.size() == expected.size());
        break;
      case 4:
      case 5:
        table.bind(key, upstream, false, now);
        if (table.find(key, now) == upstream) {
          expected[key] = {upstream, now};
        } else {
          RC_ASSERT(table.size() == 20U);
        }
        break;
      default: {
        const auto known = expected.find(key);
        const auto got = table.find(key, now);
        RC_ASSERT(got.has_value() == (known != expected.end()));
        if (got) {
          RC_ASSERT(*got == known->second.upstream);
          known->second.seen = now;
        }
      }
    }
    RC_ASSERT(table.size() <= 20U);
  }
}

// Guards against flows that break when the only balancer that knows them stops.
BOOST_AUTO_TEST_CASE(copied_flows_are_found_at_another_balancer) {
  const auto services = three_upstreams();
  flow_table source;
  flow_table target;
  for (std::uint64_t i = 0; i < 400; ++i) {
    source.bind(flow(i), run(1 + i % 3), i != 7, start);
    source.bind(flow(i), run(1 + i % 3), i != 7, start);
  }
  std::size_t copied = 0;
  for (const auto& batch : source.take_copies(services, start)) {
    BOOST_TEST(batch.fingerprints.size() <= 180U);
    copied += batch.fingerprints.size();
    target.on_copy(batch, services, start);
  }
  BOOST_TEST(copied == 399U);
  BOOST_TEST(source.take_copies(services, start + seconds(1)).empty());
  for (std::uint64_t i = 0; i < 400; ++i) {
    const auto found = target.find(flow(i), start);
    BOOST_TEST(found.has_value() == (i != 7));
    BOOST_CHECK(!found || found->id == upstream_id(1 + i % 3));
  }
  target.erase_upstream(upstream_id(1));
  BOOST_TEST(!target.find(flow(0), start).has_value());
  target.erase(flow(1));
  BOOST_TEST(!target.find(flow(1), start).has_value());
}

// Guards against sending a datagram for each new flow, and against copies that
// wait too long.
BOOST_AUTO_TEST_CASE(copies_are_sent_in_batches) {
  const auto services = three_upstreams();
  flow_table table;
  table.bind(flow(1), run(1), true, start);
  BOOST_TEST(table.take_copies(services, start + milliseconds(99)).empty());
  BOOST_TEST(table.take_copies(services, start + milliseconds(100)).size() ==
             1U);
}

// Guards against reading outside a service's list of upstreams.
BOOST_AUTO_TEST_CASE(malformed_copies_are_ignored) {
  const auto services = three_upstreams();
  flow_table table;
  table.on_copy({service_id(1), {1, 2}, {0}}, services, start);
  table.on_copy({service_id(1), {1}, {3}}, services, start);
  table.on_copy({service_id(9), {1}, {0}}, services, start);
  BOOST_TEST(table.size() == 0U);
}

// Guards against dropping a copied flow that is in use, and against keeping an
// idle one.
BOOST_AUTO_TEST_CASE(copied_flows_are_renewed_and_expire) {
  const auto services = three_upstreams();
  flow_table table;
  table.on_copy({service_id(1), {flow_table::fingerprint(flow(1))}, {0}},
                services, start);
  BOOST_TEST(table.find(flow(1), start + seconds(299)).has_value());
  BOOST_TEST(table.find(flow(1), start + seconds(598)).has_value());
  BOOST_TEST(!table.find(flow(1), start + seconds(898)).has_value());
}

// Guards against a table that does not fit into the memory of a small instance.
BOOST_AUTO_TEST_CASE(binding_takes_at_most_32_bytes) {
  flow_table table;
  for (std::uint64_t i = 0; i < 300'000; ++i) {
    table.bind(flow(i, static_cast<std::uint32_t>(i % 20)), run(1 + i % 14),
               false, start);
  }
  BOOST_TEST(table.size() == 300'000U);
  BOOST_TEST(table.memory_bytes() <= 32U * 300'000U);
}

}  // namespace
}  // namespace rosemarydrum
