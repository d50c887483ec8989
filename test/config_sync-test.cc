#define BOOST_TEST_MODULE config_sync
#include "rosemarydrum/configuration/config_sync.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "config_cluster.h"
#include "fixed_seed.h"

namespace rosemarydrum {
namespace {

using test::config_cluster;
using test::make_document;

constexpr time_point start{seconds(100)};
const std::vector<balancer_id> two_peers{balancer_id(1), balancer_id(2)};

struct fixture {
  config_sync sync{start};
  time_point now = start;
  actions out;

  bool from_store(const std::vector<document>& documents) {
    return sync.on_documents(documents, true, two_peers, now, out);
  }
  bool from_peer(const std::vector<document>& documents) {
    return sync.on_documents(documents, false, {}, now, out);
  }
  template <typename T>
  std::vector<T> sent() {
    std::vector<T> found;
    for (const auto& item : std::exchange(out, {})) {
      if (const auto* to = std::get_if<send_to_peer>(&item)) {
        if (const auto* body = std::get_if<T>(&to->body)) {
          found.push_back(*body);
        }
      }
    }
    return found;
  }
  std::size_t events(event_id id) const {
    return static_cast<std::size_t>(
        std::count_if(out.begin(), out.end(), [id](const action& item) {
          const auto* event = std::get_if<record_event>(&item);
          return event != nullptr && event->event.id == id;
        }));
  }
  std::uint64_t in_force(std::uint32_t id) const {
    const auto found = test::find_revisions_in_force(sync.current());
    return found.contains(id) ? found.at(id) : 0;
  }
};

document range_marker(std::uint64_t after) { return {{}, {}, revision(after)}; }

// Guards against a configuration that goes back to an old revision or never
// arrives while messages are lost, duplicated and reordered, balancers restart,
// and the store is stale or unavailable.
BOOST_AUTO_TEST_CASE(revisions_only_grow_and_all_balancers_converge) {
  BOOST_CHECK(rc::check("converge", [](std::uint64_t seed) {
    config_cluster cluster(5, seed);
    cluster.lossy = true;
    for (int i = 0; i < 200; ++i) {
      cluster.store_stale = cluster.random(4) == 0;
      cluster.store_down = cluster.random(4) == 0;
      if (cluster.random(4) == 0) {
        // Some documents are so large that each needs a separate message.
        cluster.store.write(static_cast<std::uint32_t>(1 + cluster.random(6)),
                            cluster.random(4) == 0,
                            cluster.random(4) == 0 ? 20'000 : 0);
      }
      if (cluster.random(20) == 0) {
        cluster.restart(cluster.random(cluster.size()));
      }
      RC_ASSERT(cluster.step());
    }
    cluster.store.write(1, false);
    cluster.lossy = cluster.store_stale = cluster.store_down = false;
    for (int i = 0; i < 60; ++i) {  // 3 s
      RC_ASSERT(cluster.step());
    }
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      const auto& current = cluster.at(i).current();
      RC_ASSERT(test::find_revisions_in_force(current) ==
                cluster.store.expected());
      RC_ASSERT(current.highest.number == cluster.store.last());
      RC_ASSERT(cluster.at(i).is_ready(cluster.now()));
    }
  }));
}

// Guards against balancers that stay inconsistent after the store has failed
// during a push: peers must replicate what one of them has accepted.
BOOST_AUTO_TEST_CASE(peers_replicate_a_change_without_the_store) {
  config_cluster cluster(6, 1);
  cluster.store.write(1, false);
  for (int i = 0; i < 40; ++i) {
    BOOST_REQUIRE(cluster.step());
  }
  cluster.store_down = true;
  cluster.store.write(1, false);
  actions lost;
  cluster.at(0).on_documents(cluster.store.list(2, revision(1)), true, {},
                             cluster.now(), lost);
  for (int i = 0; i < 60; ++i) {
    BOOST_REQUIRE(cluster.step());
  }
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    BOOST_CHECK(cluster.at(i).current().highest == revision(2));
  }
}

// Guards against an older copy that restores a deleted document.
BOOST_AUTO_TEST_CASE(deleted_document_stays_deleted) {
  fixture f;
  BOOST_CHECK(f.from_store({make_document(1, 1)}));
  BOOST_CHECK(f.from_store({make_document(1, 2, true)}));
  BOOST_CHECK(!f.from_peer({range_marker(0), make_document(1, 1)}));
  BOOST_CHECK(!f.from_store({make_document(1, 1)}));
  BOOST_CHECK(f.sync.current().services.empty());
  BOOST_CHECK_EQUAL(f.events(event_id::configuration_ignored), 1U);
}

// Guards against a service that disappears because its new document is invalid,
// and against a joining balancer that gets only the invalid version.
BOOST_AUTO_TEST_CASE(document_that_does_not_decode_leaves_the_last_in_force) {
  fixture f;
  f.from_store({make_document(1, 1)});
  const document wrong{"service/s1", "{\"id\":0}", revision(2)};
  BOOST_CHECK(!f.from_store({wrong}));
  BOOST_CHECK_EQUAL(f.events(event_id::document_rejected), 1U);
  BOOST_CHECK_EQUAL(f.in_force(1), 1U);
  BOOST_CHECK(f.sync.current().highest == revision(2));

  fixture joining;
  joining.from_store({wrong});
  joining.sync.on_peer_revision(balancer_id(1), revision(2), joining.now,
                                joining.out);
  const auto pulls = joining.sent<config_pull>();
  BOOST_REQUIRE_EQUAL(pulls.size(), 1U);
  f.out.clear();
  f.sync.on_pull(balancer_id(2), pulls[0], f.out);
  const auto answers = f.sent<config_push>();
  BOOST_REQUIRE_EQUAL(answers.size(), 1U);
  joining.from_peer(answers[0].documents);
  BOOST_CHECK_EQUAL(joining.in_force(1), 1U);
  BOOST_CHECK(f.from_store({make_document(1, 3)}));
  BOOST_CHECK_EQUAL(f.in_force(1), 3U);
}

// Guards against a restarted reader that sends its peers all documents.
BOOST_AUTO_TEST_CASE(first_listing_is_not_pushed) {
  fixture f;
  f.from_store({make_document(1, 1), make_document(2, 2)});
  BOOST_CHECK(f.sent<config_push>().empty());
  f.from_store({make_document(2, 3)});
  BOOST_CHECK_EQUAL(f.sent<config_push>().size(), two_peers.size());
}

// Guards against a push that a peer rejects because it is too large, and
// against later parts that are not applied, or hide the gap, when an earlier
// one is lost.
BOOST_AUTO_TEST_CASE(large_push_is_split_and_gaps_are_noticed) {
  fixture f;
  f.from_store({make_document(9, 1)});
  f.from_store({make_document(1, 2, false, 20'000),
                make_document(2, 3, false, 20'000),
                make_document(3, 4, false, max_document_bytes - 200)});
  auto pushed = f.sent<config_push>();
  BOOST_REQUIRE_EQUAL(pushed.size(), 6U);  // 3 for each peer
  for (const auto& item : pushed) {
    peer_message message;
    message.body = item;
    std::size_t size = 0;
    for (const auto& each : item.documents) {
      size += each.key.size() + each.text.size() + 128;
    }
    BOOST_CHECK(size < max_peer_message);
  }
  fixture peer;
  peer.from_store({make_document(9, 1)});
  peer.from_peer(pushed[0].documents);
  peer.from_peer(pushed[4].documents);  // the second part is lost
  BOOST_CHECK_EQUAL(peer.in_force(3), 4U);
  BOOST_CHECK(peer.sync.current().highest == revision(2));
  peer.from_peer(pushed[2].documents);
  BOOST_CHECK(peer.sync.current().highest == revision(3));
  peer.from_peer(pushed[4].documents);
  BOOST_CHECK(peer.sync.current().highest == revision(4));
}

// Guards against a joining balancer that lacks a service because the newest
// version arrived at its peer after a gap of revisions, and the peer no longer
// stores the earlier version.
BOOST_AUTO_TEST_CASE(pull_also_gets_documents_past_a_gap) {
  fixture f;
  f.from_store({make_document(1, 1), make_document(2, 2)});
  f.from_peer({make_document(1, 4)});
  f.out.clear();
  f.sync.on_pull(balancer_id(1), {revision(0)}, f.out);
  const auto answers = f.sent<config_push>();
  BOOST_REQUIRE_EQUAL(answers.size(), 1U);
  fixture joining;
  joining.from_peer(answers[0].documents);
  BOOST_CHECK_EQUAL(joining.in_force(1), 4U);
  BOOST_CHECK_EQUAL(joining.in_force(2), 2U);
  BOOST_CHECK(joining.sync.current().highest == revision(2));
}

// Guards against a balancer that stays behind because a pull was lost or its
// peer has failed.
BOOST_AUTO_TEST_CASE(lost_pull_is_sent_again_to_another_peer) {
  fixture f;
  f.sync.on_peer_revision(balancer_id(1), revision(5), f.now, f.out);
  f.sync.on_peer_revision(balancer_id(2), revision(5), f.now, f.out);
  BOOST_CHECK_EQUAL(f.sent<config_pull>().size(), 1U);
  f.now += pull_retry - milliseconds(1);
  f.sync.tick(f.now, f.out);
  BOOST_CHECK(f.out.empty());
  f.now += milliseconds(1);
  f.sync.tick(f.now, f.out);
  BOOST_REQUIRE_EQUAL(f.out.size(), 1U);
  BOOST_CHECK(std::get<send_to_peer>(f.out[0]).to == balancer_id(2));
}

// Guards against a balancer that reports itself ready without a configuration,
// or with an old one while a reachable peer has a newer one.
BOOST_AUTO_TEST_CASE(ready_when_nothing_newer_is_known) {
  fixture f;
  f.now += ready_delay;
  BOOST_CHECK(!f.sync.is_ready(f.now));
  f.from_store({make_document(1, 4)});
  f.sync.on_peer_revision(balancer_id(1), revision(5), f.now, f.out);
  BOOST_CHECK(!f.sync.is_ready(f.now));
  BOOST_CHECK(f.sync.highest_known() == revision(5));
  f.from_peer({make_document(1, 5)});
  BOOST_CHECK(!f.sync.is_ready(f.now));  // earlier changes may be missing
  f.from_peer({range_marker(4), make_document(1, 5)});
  BOOST_CHECK(f.sync.is_ready(f.now));
  f.sync.on_peer_revision(balancer_id(1), revision(6), f.now, f.out);
  BOOST_CHECK(f.sync.is_ready(f.now));

  fixture alone;
  alone.from_store({make_document(1, 4)});
  BOOST_CHECK(!alone.sync.is_ready(alone.now));
  alone.sync.on_peer_revision(balancer_id(1), revision(9), alone.now,
                              alone.out);
  alone.now += seconds(4);  // the peer has failed
  BOOST_CHECK(alone.sync.is_ready(alone.now));
}

// Guards against balancers that choose differently between two documents with
// the same id, because these arrived in a different order.
BOOST_AUTO_TEST_CASE(two_documents_with_one_id_resolve_independently_of_order) {
  auto first = make_document(1, 1);
  auto second = make_document(1, 2);
  second.key = "service/a";
  for (const bool swapped : {false, true}) {
    fixture f;
    f.from_peer({swapped ? second : first});
    f.from_peer({swapped ? first : second});
    BOOST_CHECK_EQUAL(f.in_force(1), 2U);
    f.from_peer({{"service/a", {}, revision(3)}});
    BOOST_CHECK_EQUAL(f.in_force(1), 1U);
  }
}

struct propagation_metrics {
  double calls_per_second = 0;
  std::uint64_t bytes_per_change = 0;
  milliseconds slowest{};
};

// Makes 60 changes of a document of about 1,500 bytes (14 upstreams), one every
// 2.15 s, so that each falls on a different point of the poll interval.
propagation_metrics measure_propagation(config_cluster& cluster,
                                        const char* name) {
  propagation_metrics metrics;
  // Change -1 is not counted, because the first change is always pulled.
  for (int change = -1; change < 60; ++change) {
    if (change == 0) {
      cluster.calls = cluster.bytes = 0;
      metrics.slowest = {};
    }
    cluster.store.write(1 + (change + 5) % 5, false, 1400);
    const auto written = cluster.now();
    std::optional<duration> needed;
    for (int i = 0; i < 43; ++i) {
      BOOST_REQUIRE(cluster.step());
      bool all = true;
      for (std::size_t each = 0; each < cluster.size(); ++each) {
        all = all &&
              cluster.at(each).current().highest.number == cluster.store.last();
      }
      if (all && !needed) {
        needed = cluster.now() - written;
      }
    }
    BOOST_REQUIRE(needed);
    metrics.slowest = std::max(
        metrics.slowest, std::chrono::duration_cast<milliseconds>(*needed));
  }
  metrics.calls_per_second = static_cast<double>(cluster.calls) / (60 * 2.15);
  metrics.bytes_per_change = cluster.bytes / 60 / cluster.size();
  BOOST_TEST_MESSAGE(name << ": store calls/s " << metrics.calls_per_second
                          << ", bytes per balancer and change "
                          << metrics.bytes_per_change << ", slowest ms "
                          << metrics.slowest.count());
  return metrics;
}

// Guards against store calls that grow with the number of balancers, unbounded
// repetition of documents in pushes, and a change that takes more than 3 s
// (docs/decisions/configuration.md names the figures).
BOOST_AUTO_TEST_CASE(store_calls_and_bytes_are_bounded) {
  config_cluster all_watch(8, 1);
  all_watch.readers = 8;
  all_watch.push = false;
  measure_propagation(all_watch, "all watch");

  config_cluster gossip(8, 1);
  gossip.push = false;
  measure_propagation(gossip, "two read, others pull");

  for (const bool together : {false, true}) {
    config_cluster push(8, 1);
    push.poll_together = together;
    const auto metrics = measure_propagation(
        push, together ? "two read at once and push" : "two read and push");
    BOOST_CHECK(metrics.calls_per_second <= 2.1);
    BOOST_CHECK(metrics.bytes_per_change < 4'000);
    BOOST_CHECK(metrics.slowest < seconds(3));
  }
}

}  // namespace
}  // namespace rosemarydrum
