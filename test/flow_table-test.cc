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
upstream_run run(std::uint32_t id, std::uint64_t of = 1) {
  return {upstream_id(id), incarnation(of)};
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

// Guards against a flow that moves, is lost or comes back, and against entries
// that outlive the table's bound, by comparison with a simple map.
RC_BOOST_PROP(same_as_a_map, ()) {
  struct bound {
    upstream_run upstream;
    time_point seen;
  };
  flow_table_settings settings;
  settings.max_flows = 20;
  settings.idle_time = seconds(10);
  flow_table table(settings);
  std::map<flow_key, bound> model;
  time_point now = start;
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
      500, rc::gen::arbitrary<std::uint32_t>());
  for (const auto step : steps) {
    const auto key = flow(step % 15, 1 + step / 16 % 2);
    const auto upstream = run(1 + step / 32 % 3, 1 + step / 128 % 2);
    std::erase_if(model, [now](const auto& entry) {
      return now - entry.second.seen >= seconds(10);
    });
    switch (step / 256 % 8) {
      case 0:
        table.erase(key);
        model.erase(key);
        break;
      case 1:
        if (step % 5 == 0) {
          table.erase_upstream(upstream.id);
          std::erase_if(model, [&](const auto& entry) {
            return entry.second.upstream.id == upstream.id;
          });
        }
        break;
      case 2:
        now += milliseconds(step / 2048 % 3000);
        break;
      case 3:
        // The table may still hold flows that are over until it is swept.
        for (int i = 0; i < 64; ++i) {
          table.tick(now);
        }
        RC_ASSERT(table.size() == model.size());
        break;
      case 4:
      case 5:
        table.bind(key, upstream, false, now);
        if (table.find(key, now) == upstream) {
          model[key] = {upstream, now};
        } else {
          RC_ASSERT(table.size() == 20U);
        }
        break;
      default: {
        const auto known = model.find(key);
        const auto got = table.find(key, now);
        RC_ASSERT(got.has_value() == (known != model.end()));
        if (got) {
          RC_ASSERT(*got == known->second.upstream);
          known->second.seen = now;
        }
      }
    }
    RC_ASSERT(table.size() <= 20U);
  }
}

// Guards against flows that break when the only balancer that knew them dies.
BOOST_AUTO_TEST_CASE(copies_bring_flows_to_another_balancer) {
  const auto services = three_upstreams();
  flow_table here;
  flow_table there;
  for (std::uint64_t i = 0; i < 400; ++i) {
    here.bind(flow(i), run(1 + i % 3), i != 7, start);
    here.bind(flow(i), run(1 + i % 3), i != 7, start);
  }
  std::size_t copied = 0;
  for (const auto& batch : here.take_copies(services, start)) {
    BOOST_TEST(batch.fingerprints.size() <= 180U);
    copied += batch.fingerprints.size();
    there.on_copy(batch, services, start);
  }
  BOOST_TEST(copied == 399U);
  BOOST_TEST(here.take_copies(services, start + seconds(1)).empty());
  for (std::uint64_t i = 0; i < 400; ++i) {
    const auto found = there.find(flow(i), start);
    BOOST_TEST(found.has_value() == (i != 7));
    BOOST_CHECK(!found || found->id == upstream_id(1 + i % 3));
  }
  there.erase_upstream(upstream_id(1));
  BOOST_TEST(!there.find(flow(0), start).has_value());
  there.erase(flow(1));
  BOOST_TEST(!there.find(flow(1), start).has_value());
}

// Guards against a datagram for each new flow, and against copies that wait
// without bound.
BOOST_AUTO_TEST_CASE(copies_travel_in_batches) {
  const auto services = three_upstreams();
  flow_table table;
  table.bind(flow(1), run(1), true, start);
  BOOST_TEST(table.take_copies(services, start + milliseconds(99)).empty());
  BOOST_TEST(table.take_copies(services, start + milliseconds(100)).size() ==
             1U);
}

// Guards against reading outside a service's list on a malformed copy.
BOOST_AUTO_TEST_CASE(malformed_copies_are_ignored) {
  const auto services = three_upstreams();
  flow_table table;
  table.on_copy({service_id(1), {1, 2}, {0}}, services, start);
  table.on_copy({service_id(1), {1}, {3}}, services, start);
  table.on_copy({service_id(9), {1}, {0}}, services, start);
  BOOST_TEST(table.size() == 0U);
}

// Guards against a copied flow that is forgotten while it is in use.
BOOST_AUTO_TEST_CASE(copied_flows_are_renewed_and_expire) {
  const auto services = three_upstreams();
  flow_table table;
  table.on_copy({service_id(1), {flow_table::fingerprint(flow(1))}, {0}},
                services, start);
  BOOST_TEST(table.find(flow(1), start + seconds(299)).has_value());
  BOOST_TEST(table.find(flow(1), start + seconds(598)).has_value());
  BOOST_TEST(!table.find(flow(1), start + seconds(898)).has_value());
}

// Guards against a table that does not fit in a small instance.
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
