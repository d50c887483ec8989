#define BOOST_TEST_MODULE flow_resolver
#include "rosemarydrum/flows/flow_resolver.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace rosemarydrum {
namespace {

constexpr flow_key flow{caller_id(1), service_id(1), flow_id(1)};
constexpr upstream_run unknown{};
constexpr upstream_run found{upstream_id(5), incarnation(6)};
constexpr balancer_id first{1};

struct fixture {
  time_point now{seconds(1)};
  flow_resolver resolver;
  actions out;
  std::vector<upstream_run> results;
  std::vector<balancer_id> others{balancer_id(1), balancer_id(2),
                                  balancer_id(3)};

  void resolve(const flow_key& key = flow) {
    resolver.resolve(
        key, first, others,
        [this](upstream_run upstream, time_point, actions&) {
          results.push_back(upstream);
        },
        now, out);
  }
  std::vector<balancer_id> asked() {
    std::vector<balancer_id> to;
    for (const action& a : out) {
      to.push_back(std::get<send_to_peer>(a).to);
    }
    out.clear();
    return to;
  }
  void answer(std::uint32_t from, upstream_run upstream) {
    resolver.on_answer(balancer_id(from), {flow, upstream}, now, out);
  }
  void tick_after(milliseconds time) {
    now += time;
    resolver.tick(now, out);
  }
};

// Guards against one query for each packet of a flow, and against packets that
// are lost.
BOOST_FIXTURE_TEST_CASE(packets_of_one_flow_share_a_query, fixture) {
  resolve();
  resolve();
  BOOST_CHECK(asked() == std::vector{first});
  answer(1, found);
  BOOST_CHECK((results == std::vector{found, found}));
  BOOST_TEST(resolver.waiting() == 0U);
  answer(1, found);
  BOOST_TEST(results.size() == 2U);
}

// Guards against a flow that breaks although another balancer knows it, because
// the decider is new.
BOOST_FIXTURE_TEST_CASE(asks_all_others_when_the_first_does_not_know, fixture) {
  resolve();
  asked();
  answer(2, found);  // Not asked yet, so that the answer is ignored.
  BOOST_TEST(results.empty());
  answer(1, unknown);
  BOOST_CHECK((asked() == std::vector{balancer_id(2), balancer_id(3)}));
  answer(2, unknown);
  answer(2, unknown);
  BOOST_TEST(results.empty());
  answer(3, found);
  BOOST_CHECK(results == std::vector{found});
}

// Guards against packets that wait forever for a stopped balancer.
BOOST_FIXTURE_TEST_CASE(gives_up_after_two_rounds, fixture) {
  resolve();
  asked();
  tick_after(milliseconds(59));
  BOOST_TEST(asked().empty());
  tick_after(milliseconds(1));
  BOOST_TEST(asked().size() == 2U);
  tick_after(milliseconds(59));
  BOOST_TEST(results.empty());
  tick_after(milliseconds(1));
  BOOST_CHECK(results == std::vector{unknown});
}

// Guards against dropping a late answer of the first balancer.
BOOST_FIXTURE_TEST_CASE(late_answer_of_the_first_is_accepted, fixture) {
  resolve();
  tick_after(milliseconds(60));
  answer(1, found);
  BOOST_CHECK(results == std::vector{found});
}

// Guards against memory that grows without bound with packets of unknown flows.
BOOST_FIXTURE_TEST_CASE(waiting_is_bounded, fixture) {
  for (int i = 0; i < 20; ++i) {
    resolve();
  }
  BOOST_TEST(results.size() == 4U);
  for (std::uint64_t i = 2; i < 5000; ++i) {
    resolve({caller_id(1), service_id(1), flow_id(i)});
  }
  BOOST_TEST(resolver.waiting() <= 4096U);
  BOOST_CHECK(results.back() == unknown);
}

// Guards against a crash when a continuation resolves its flow again.
BOOST_FIXTURE_TEST_CASE(continuation_may_resolve_again, fixture) {
  resolver.resolve(
      flow, first, {},
      [this](upstream_run, time_point, actions&) { resolve(); }, now, out);
  answer(1, unknown);
  BOOST_TEST(resolver.waiting() == 1U);
}

}  // namespace
}  // namespace rosemarydrum
