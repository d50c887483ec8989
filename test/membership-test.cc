#define BOOST_TEST_MODULE membership
#include "rosemarydrum/membership/membership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>

namespace rosemarydrum {
namespace {

time_point at(int ms) { return time_point(milliseconds(100'000 + ms)); }

/// Returns data centres 1 to `centres` with `members` balancers each. Balancer
/// ids start at 1.
configuration test_configuration(int centres, int members) {
  configuration current;
  std::uint32_t id = 0;
  for (int c = 1; c <= centres; ++c) {
    auto& centre = current.data_centres[data_centre_id(c)];
    centre.id = data_centre_id(c);
    for (int m = 0; m < members; ++m) {
      centre.balancers.push_back({balancer_id(++id), {}});
    }
  }
  return current;
}

std::size_t count_events(const actions& out, event_id id) {
  return std::count_if(out.begin(), out.end(), [id](const action& entry) {
    const auto* event = std::get_if<record_event>(&entry);
    return event && event->event.id == id;
  });
}

/// Balancers that exchange heartbeats without delay, except over links in `cut`
/// and with balancers in `down`.
struct simulated_network {
  simulated_network(int centres, int members) {
    for (const auto& [id, centre] :
         test_configuration(centres, members).data_centres) {
      for (const auto& entry : centre.balancers) {
        auto& self = balancers[entry.id];
        self = std::make_unique<membership>(
            balancer_run{entry.id, incarnation(1)}, id);
        self->set_configured(test_configuration(centres, members));
      }
    }
  }

  void run(int from_ms, int to_ms) {
    for (int ms = from_ms; ms < to_ms; ms += 10) {
      for (auto& [id, self] : balancers) {
        for (const balancer_id to :
             down.contains(id) ? std::vector<balancer_id>{}
                               : self->due_heartbeat_peers(at(ms), out)) {
          const auto beat =
              self->next_heartbeat(to, {}, leaving.contains(id), at(ms));
          ++sent;
          if (!down.contains(to) && !cut.contains({id, to})) {
            balancers.at(to)->on_heartbeat({id, incarnation(1)}, beat, at(ms),
                                           out);
          }
        }
      }
    }
  }
  bool live(int self, int other, int ms) {
    return balancers.at(balancer_id(self))->is_live(balancer_id(other), at(ms));
  }

  std::map<balancer_id, std::unique_ptr<membership>> balancers;
  std::set<std::pair<balancer_id, balancer_id>> cut;
  std::set<balancer_id> down;
  std::set<balancer_id> leaving;
  actions out;
  int sent = 0;
};

// Guards against a one-way partition in which one end considers the other live.
BOOST_AUTO_TEST_CASE(both_ends_of_a_one_way_cut_suspect_each_other) {
  simulated_network network(1, 3);
  network.run(0, 1000);
  BOOST_CHECK(network.live(1, 2, 1000) && network.live(2, 1, 1000));
  network.cut.insert({balancer_id(1), balancer_id(2)});
  network.run(1000, 3000);
  BOOST_CHECK(!network.live(1, 2, 3000) && !network.live(2, 1, 3000));
  BOOST_CHECK(network.live(1, 3, 3000) && network.live(3, 2, 3000));
  BOOST_CHECK_EQUAL(count_events(network.out, event_id::peer_suspected), 2U);
  network.cut.clear();
  network.run(3000, 4000);
  BOOST_CHECK(network.live(1, 2, 4000) && network.live(2, 1, 4000));
}

// Guards against a dead or leaving balancer that is still reported as serving.
BOOST_AUTO_TEST_CASE(dead_and_leaving_balancers_do_not_serve) {
  simulated_network network(1, 4);
  network.run(0, 1000);
  network.down.insert(balancer_id(2));
  network.leaving.insert(balancer_id(3));
  network.run(1000, 2500);
  const membership& self = *network.balancers.at(balancer_id(1));
  const std::vector<balancer_id> expected{balancer_id(1), balancer_id(4)};
  BOOST_CHECK(self.serving(data_centre_id(1), at(2500)) == expected);
  BOOST_CHECK(self.is_live(balancer_id(3), at(2500)));
  BOOST_CHECK_EQUAL(self.configured(data_centre_id(1)).size(), 4U);
  BOOST_CHECK(network.balancers.at(balancer_id(3))
                  ->serving(data_centre_id(1), at(2500))
                  .front() == balancer_id(1));
  BOOST_CHECK(!network.balancers.at(balancer_id(3))
                   ->is_serving(balancer_id(3), at(2500)));
  BOOST_CHECK_EQUAL(count_events(network.out, event_id::peer_leaving), 2U);
}

// Guards against a restarted balancer that is considered live because of echoes
// from its previous run, and against late heartbeats of that run.
BOOST_AUTO_TEST_CASE(new_run_must_echo_and_late_heartbeats_are_ignored) {
  membership self({balancer_id(1), incarnation(1)}, data_centre_id(1));
  self.set_configured(test_configuration(1, 2));
  const auto peer = balancer_id(2);
  actions out;
  self.next_heartbeat(peer, {}, false, at(0));
  heartbeat beat;
  beat.sequence = 5;
  beat.echo = 1;
  BOOST_CHECK(self.on_heartbeat({peer, incarnation(7)}, beat, at(1), out));
  BOOST_CHECK(
      !self.is_live(peer, at(1)));  // Echo of a heartbeat to no known run.
  self.next_heartbeat(peer, {}, false, at(2));
  beat.sequence = 6;
  beat.echo = 2;
  BOOST_CHECK(!self.on_heartbeat({peer, incarnation(7)}, beat, at(3), out));
  BOOST_CHECK(self.is_live(peer, at(3)));
  heartbeat fresh;
  fresh.sequence = 1;
  BOOST_CHECK(self.on_heartbeat({peer, incarnation(8)}, fresh, at(4), out));
  BOOST_CHECK(!self.is_live(peer, at(4)));
  beat.sequence = 7;
  beat.leaving = true;
  BOOST_CHECK(!self.on_heartbeat({peer, incarnation(7)}, beat, at(5), out));
  BOOST_CHECK(self.run_of(peer) == incarnation(8));
  BOOST_CHECK_EQUAL(count_events(out, event_id::peer_leaving), 0U);
}

// Guards against a peer that is kept live by repeating an old echo.
BOOST_AUTO_TEST_CASE(repeated_echo_does_not_keep_a_peer_live) {
  membership self({balancer_id(1), incarnation(1)}, data_centre_id(1));
  self.set_configured(test_configuration(1, 2));
  const balancer_run peer{balancer_id(2), incarnation(2)};
  actions out;
  heartbeat beat;
  beat.sequence = 1;
  self.on_heartbeat(peer, beat, at(0), out);
  self.next_heartbeat(peer.id, {}, false, at(0));
  BOOST_CHECK(self.sent_at(peer.id, 1) == at(0));
  BOOST_CHECK(!self.sent_at(peer.id, 2));
  beat.echo = 1;
  for (int ms = 100; ms < 2000; ms += 100) {
    ++beat.sequence;
    self.on_heartbeat(peer, beat, at(ms), out);
  }
  BOOST_CHECK(!self.is_live(peer.id, at(2000)));
}

// Guards against accepting heartbeats from balancers that are not configured.
BOOST_AUTO_TEST_CASE(unknown_senders_are_ignored) {
  membership self({balancer_id(1), incarnation(1)}, data_centre_id(1));
  self.set_configured(test_configuration(1, 2));
  actions out;
  heartbeat beat;
  beat.sequence = 1;
  BOOST_CHECK(
      !self.on_heartbeat({balancer_id(9), incarnation(2)}, beat, at(0), out));
  BOOST_CHECK(!self.is_configured(balancer_id(9)));
  BOOST_CHECK(out.empty());
}

// Guards against a balancer without a live peer in another data centre, and
// against heartbeat traffic between data centres that grows with their size.
BOOST_AUTO_TEST_CASE(each_balancer_knows_some_of_each_other_data_centre) {
  simulated_network network(3, 8);
  network.run(0, 10'000);
  const auto all_have_live_peers = [&](int ms) {
    for (auto& [id, self] : network.balancers) {
      for (int c = 1; c <= 3 && !network.down.contains(id); ++c) {
        if (self->serving(data_centre_id(c), at(ms)).size() <
            remote_heartbeat_peers) {
          return false;
        }
      }
    }
    return true;
  };
  BOOST_CHECK(all_have_live_peers(10'000));
  // For 10 s, each of 24 balancers sends to the 7 others of its data centre
  // every 0.3 s, and once a second to 4 balancers in each of 2 other data
  // centres: 2 that it selects and on average 2 that select it.
  const double local = 24 * 7 * 10 / 0.3;
  const double remote = 24 * 4 * 2 * 10;
  BOOST_CHECK_LE(network.sent, 1.1 * (local + remote));
  // Six of eight fail in one data centre. The other two are found after the
  // suspicion timeout by probing the fallbacks, one per second.
  for (int id = 1; id <= 6; ++id) {
    network.down.insert(balancer_id(id));
  }
  network.run(10'000, 25'000);
  BOOST_CHECK(all_have_live_peers(25'000));
  network.run(25'000, 40'000);
  BOOST_CHECK(all_have_live_peers(40'000));
}

}  // namespace
}  // namespace rosemarydrum
