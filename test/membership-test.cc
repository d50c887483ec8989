#define BOOST_TEST_MODULE membership
#include "rosemarydrum/membership/membership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>

namespace rosemarydrum {
namespace {

time_point at(int ms) { return time_point(milliseconds(100'000 + ms)); }

/// Data centres 1 to `centres` with `members` balancers each; ids from 1.
configuration cells(int centres, int members) {
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

/// Balancers that exchange heartbeats without delay, unless they are cut.
struct network {
  network(int centres, int members) {
    for (const auto& [id, centre] : cells(centres, members).data_centres) {
      for (const auto& entry : centre.balancers) {
        auto& self = nodes[entry.id];
        self = std::make_unique<membership>(
            balancer_run{entry.id, incarnation(1)}, id);
        self->set_configured(cells(centres, members));
      }
    }
  }

  void run(int from_ms, int to_ms) {
    for (int ms = from_ms; ms < to_ms; ms += 10) {
      for (auto& [id, self] : nodes) {
        for (const balancer_id to : down.contains(id)
                                        ? std::vector<balancer_id>{}
                                        : self->due(at(ms), out)) {
          const auto beat =
              self->next_heartbeat(to, {}, leaving.contains(id), at(ms));
          ++sent;
          if (!down.contains(to) && !cut.contains({id, to})) {
            nodes.at(to)->on_heartbeat({id, incarnation(1)}, beat, at(ms), out);
          }
        }
      }
    }
  }
  bool live(int self, int other, int ms) {
    return nodes.at(balancer_id(self))->is_live(balancer_id(other), at(ms));
  }

  std::map<balancer_id, std::unique_ptr<membership>> nodes;
  std::set<std::pair<balancer_id, balancer_id>> cut;
  std::set<balancer_id> down;
  std::set<balancer_id> leaving;
  actions out;
  int sent = 0;
};

// Guards against a one-way cut in which one end takes the other for live.
BOOST_AUTO_TEST_CASE(both_ends_of_a_one_way_cut_suspect_each_other) {
  network all(1, 3);
  all.run(0, 1000);
  BOOST_CHECK(all.live(1, 2, 1000) && all.live(2, 1, 1000));
  all.cut.insert({balancer_id(1), balancer_id(2)});
  all.run(1000, 3000);
  BOOST_CHECK(!all.live(1, 2, 3000) && !all.live(2, 1, 3000));
  BOOST_CHECK(all.live(1, 3, 3000) && all.live(3, 2, 3000));
  BOOST_CHECK_EQUAL(count_events(all.out, event_id::peer_suspected), 2U);
  all.cut.clear();
  all.run(3000, 4000);
  BOOST_CHECK(all.live(1, 2, 4000) && all.live(2, 1, 4000));
}

// Guards against a dead balancer that stays a member, and a leaving one that
// gets work.
BOOST_AUTO_TEST_CASE(dead_and_leaving_balancers_do_not_serve) {
  network all(1, 4);
  all.run(0, 1000);
  all.down.insert(balancer_id(2));
  all.leaving.insert(balancer_id(3));
  all.run(1000, 2500);
  const membership& self = *all.nodes.at(balancer_id(1));
  const std::vector<balancer_id> expected{balancer_id(1), balancer_id(4)};
  BOOST_CHECK(self.serving(data_centre_id(1), at(2500)) == expected);
  BOOST_CHECK(self.is_live(balancer_id(3), at(2500)));
  BOOST_CHECK_EQUAL(self.configured(data_centre_id(1)).size(), 4U);
  BOOST_CHECK(all.nodes.at(balancer_id(3))
                  ->serving(data_centre_id(1), at(2500))
                  .front() == balancer_id(1));
  BOOST_CHECK(
      !all.nodes.at(balancer_id(3))->is_serving(balancer_id(3), at(2500)));
  BOOST_CHECK_EQUAL(count_events(all.out, event_id::peer_leaving), 2U);
}

// Guards against a restarted balancer that counts as live by what its last run
// has echoed, and against late heartbeats of that run.
BOOST_AUTO_TEST_CASE(new_run_must_echo_and_late_heartbeats_are_ignored) {
  membership self({balancer_id(1), incarnation(1)}, data_centre_id(1));
  self.set_configured(cells(1, 2));
  const auto peer = balancer_id(2);
  actions out;
  self.next_heartbeat(peer, {}, false, at(0));
  heartbeat beat;
  beat.sequence = 5;
  beat.echo = 1;
  BOOST_CHECK(self.on_heartbeat({peer, incarnation(7)}, beat, at(1), out));
  BOOST_CHECK(!self.is_live(peer, at(1)));  // Not sent to this run.
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

// Guards against an old echo that arrives again and keeps a cut peer live.
BOOST_AUTO_TEST_CASE(repeated_echo_does_not_keep_a_peer_live) {
  membership self({balancer_id(1), incarnation(1)}, data_centre_id(1));
  self.set_configured(cells(1, 2));
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

// Guards against messages of processes that are not configured.
BOOST_AUTO_TEST_CASE(unknown_senders_are_ignored) {
  membership self({balancer_id(1), incarnation(1)}, data_centre_id(1));
  self.set_configured(cells(1, 2));
  actions out;
  heartbeat beat;
  beat.sequence = 1;
  BOOST_CHECK(
      !self.on_heartbeat({balancer_id(9), incarnation(2)}, beat, at(0), out));
  BOOST_CHECK(!self.is_configured(balancer_id(9)));
  BOOST_CHECK(out.empty());
}

// Guards against a balancer that knows nobody in another data centre, and
// against heartbeats between data centres that grow with their size.
BOOST_AUTO_TEST_CASE(each_balancer_knows_some_of_each_other_data_centre) {
  network all(3, 8);
  all.run(0, 10'000);
  const auto knows_enough = [&](int ms) {
    for (auto& [id, self] : all.nodes) {
      for (int c = 1; c <= 3 && !all.down.contains(id); ++c) {
        if (self->serving(data_centre_id(c), at(ms)).size() < remote_contacts) {
          return false;
        }
      }
    }
    return true;
  };
  BOOST_CHECK(knows_enough(10'000));
  // Within a cell each sends to 7 members 10/3 times a second. Between data
  // centres each has 2 contacts of its own and on average 2 others' in each
  // of 2, once a second.
  const double local = 24 * 7 * 10 / 0.3;
  const double remote = 24 * 4 * 2 * 10;
  BOOST_CHECK_LE(all.sent, 1.1 * (local + remote));
  // Six of eight fail in one data centre: the others are found after the
  // suspicion timeout and a turn of one second for each.
  for (int id = 1; id <= 6; ++id) {
    all.down.insert(balancer_id(id));
  }
  all.run(10'000, 25'000);
  BOOST_CHECK(knows_enough(25'000));
  all.run(25'000, 40'000);
  BOOST_CHECK(knows_enough(40'000));
}

}  // namespace
}  // namespace rosemarydrum
