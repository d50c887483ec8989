#define BOOST_TEST_MODULE item_replica
#include "rosemarydrum/store/item_replica.h"

#include <rapidcheck/boost_test.h>

#include <array>
#include <boost/test/unit_test.hpp>

#include "fixed_seed.h"
#include "fleet/fake_kv_store.h"

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};

kv_item item(const std::string& key, std::uint64_t changed,
             const std::string& value = "v") {
  return {key, value, revision(changed), false, false, {}};
}
kv_item removal(const std::string& key, std::uint64_t changed) {
  return {key, {}, revision(changed), true, false, {}};
}
kv_item announced(const std::string& key, std::uint64_t changed) {
  return {key, {}, revision(changed), false, true, {}};
}

item_listing complete_listing(std::vector<kv_item> items, std::uint64_t at) {
  return {std::move(items), true, {}, revision(at)};
}
item_listing changes(std::vector<kv_item> items, std::uint64_t after,
                     std::uint64_t at) {
  return {std::move(items), false, revision(after), revision(at)};
}

struct fixture {
  std::vector<kv_item> apply(const item_listing& listing) {
    return replica.apply(listing, start);
  }
  item_replica replica{seconds(60)};
};

// Guards against a replica that reverts to an older version.
BOOST_FIXTURE_TEST_CASE(revisions_of_items_only_grow, fixture) {
  apply(complete_listing({item("a", 5, "new")}, 6));
  BOOST_CHECK(apply(changes({item("a", 4, "old")}, 3, 4)).empty());
  BOOST_CHECK_EQUAL(replica.find("a")->value, "new");
  BOOST_CHECK(replica.at() == revision(6));
  // An older complete listing neither removes nor restores items.
  apply(changes({removal("a", 7), item("b", 8)}, 6, 8));
  apply(complete_listing({item("a", 5, "new")}, 6));
  BOOST_CHECK(replica.find("a")->removed);
  BOOST_CHECK(!replica.find("b")->removed);
}

// Guards against a removal that counts as new, and is kept anew, in each
// process that learns of it from another.
BOOST_FIXTURE_TEST_CASE(removals_keep_their_age, fixture) {
  auto learned = removal("a", 4);
  learned.removed_for = seconds(20);
  apply(complete_listing({item("b", 5)}, 5));
  apply(changes({learned}, 3, 4));
  apply(changes({removal("b", 6)}, 5, 6));
  const auto later = start + seconds(3);
  BOOST_CHECK(replica.removal_age("a", later) == seconds(23));
  BOOST_CHECK(replica.removal_age("b", later) == seconds(3));
  BOOST_CHECK(!replica.removal_age("c", later));
  replica.tick(start + seconds(40));
  BOOST_CHECK(replica.find("a") == nullptr);
  BOOST_CHECK(replica.find("b") != nullptr);
}

// Guards against taking an earlier removal, which the store's history or a
// member of an earlier version tells without its time, for one that has just
// happened.
BOOST_FIXTURE_TEST_CASE(earlier_removals_have_no_age_until_it_is_learned,
                        fixture) {
  apply(complete_listing({removal("a", 4), item("b", 5)}, 5));
  apply(changes({removal("c", 3)}, 2, 3));
  BOOST_CHECK(!replica.removal_age("a", start));
  BOOST_CHECK(!replica.removal_age("c", start));
  auto learned = removal("a", 4);
  learned.removed_for = seconds(20);
  BOOST_CHECK_EQUAL(apply(changes({learned}, 3, 4)).size(), 1U);
  BOOST_CHECK(replica.removal_age("a", start) == seconds(20));
  BOOST_CHECK(apply(changes({learned}, 3, 4)).empty());
  // The item was not known before it was removed, but this process has seen all
  // changes meanwhile.
  apply(changes({removal("d", 7)}, 5, 7));
  BOOST_CHECK(replica.removal_age("d", start) == seconds(0));
}

// Guards against a lost change between two listings that goes unnoticed.
BOOST_FIXTURE_TEST_CASE(gaps_do_not_raise_the_revision, fixture) {
  apply(complete_listing({item("a", 1)}, 3));
  BOOST_CHECK_EQUAL(apply(changes({item("b", 9)}, 7, 9)).size(), 1U);
  BOOST_CHECK(replica.at() == revision(3));
  apply(changes({item("c", 5)}, 3, 9));
  BOOST_CHECK(replica.at() == revision(9));
}

// Guards against items that are kept because the store has dropped the history
// of their removal.
BOOST_FIXTURE_TEST_CASE(complete_listings_remove_unlisted_items, fixture) {
  apply(complete_listing({item("a", 1), item("b", 2)}, 3));
  const auto updated = apply(complete_listing({item("b", 2), item("c", 8)}, 9));
  BOOST_REQUIRE_EQUAL(updated.size(), 2U);
  BOOST_CHECK(replica.find("a")->removed);
  BOOST_CHECK(replica.find("a")->changed == revision(9));
  BOOST_CHECK(!replica.find("b")->removed);
}

// Guards against a member that never learns of a removal, and against one that
// treats an incomplete listing as complete.
BOOST_FIXTURE_TEST_CASE(listings_for_peers_hold_the_changes, fixture) {
  apply(complete_listing({item("a", 1), item("b", 2)}, 3));
  apply(changes({removal("a", 5), item("b", 7)}, 3, 8));
  const auto after_removal = replica.changes_after(revision(5));
  BOOST_CHECK(!after_removal.complete);
  BOOST_REQUIRE_EQUAL(after_removal.items.size(), 1U);
  BOOST_CHECK_EQUAL(after_removal.items[0].key, "b");
  const auto both_changes = replica.changes_after(revision(3));
  BOOST_REQUIRE_EQUAL(both_changes.items.size(), 2U);
  BOOST_CHECK(both_changes.items[0].removed);
  // Items that were removed before the first listing are unknown here.
  BOOST_CHECK(replica.changes_after(revision(2)).complete);
  // Dropped removals are unknown as well.
  replica.tick(start + seconds(60));
  BOOST_CHECK(replica.find("a") == nullptr);
  BOOST_CHECK(replica.changes_after(revision(4)).complete);
  BOOST_CHECK(!replica.changes_after(revision(5)).complete);
}

// Guards against flows that are lost because their upstream's last entry was
// dropped with its removal.
BOOST_FIXTURE_TEST_CASE(removed_items_keep_their_last_value, fixture) {
  apply(complete_listing({item("a", 1, "address")}, 3));
  apply(changes({removal("a", 4)}, 3, 4));
  BOOST_REQUIRE_EQUAL(replica.removed().size(), 1U);
  BOOST_CHECK_EQUAL(replica.removed()[0].value, "address");
  item_replica other(seconds(60));
  other.apply(complete_listing({}, 9), start);
  const auto updated = other.apply({replica.removed(), false, {}, {}}, start);
  BOOST_REQUIRE_EQUAL(updated.size(), 1U);
  BOOST_CHECK(updated[0].removed);
  BOOST_CHECK_EQUAL(updated[0].value, "address");
}

// Guards against an announced value that is treated as empty or never
// requested.
BOOST_FIXTURE_TEST_CASE(announced_values_are_missing_until_received, fixture) {
  apply(complete_listing({item("a", 1, "old")}, 3));
  BOOST_CHECK(apply(changes({announced("a", 4)}, 3, 4)).empty());
  BOOST_CHECK_EQUAL(replica.find("a")->value, "old");
  BOOST_REQUIRE_EQUAL(replica.missing().size(), 1U);
  BOOST_CHECK(replica.missing()[0].second == revision(4));
  // Passed on as announced, not as the old value.
  BOOST_CHECK(replica.changes_after(revision(3)).items[0].omitted);
  BOOST_CHECK_EQUAL(apply(changes({item("a", 4, "new")}, 4, 4)).size(), 1U);
  BOOST_CHECK(replica.missing().empty());
}

// Guards against a confirmation time that decreases.
BOOST_FIXTURE_TEST_CASE(confirmations_only_grow, fixture) {
  replica.confirm(start);
  replica.confirm(start - seconds(1));
  BOOST_CHECK(replica.confirmed_at() == start);
}

// Guards against replicas that differ after the same changes in a different
// order and with duplicates.
RC_BOOST_PROP(order_does_not_matter, ()) {
  const auto count = *rc::gen::inRange<std::uint64_t>(1, 30);
  std::vector<kv_item> log;
  for (std::uint64_t r = 1; r <= count; ++r) {
    const auto key =
        std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
    log.push_back(*rc::gen::inRange(0, 4) == 0
                      ? removal(key, r)
                      : item(key, r, std::to_string(r)));
  }
  item_replica in_order(seconds(60));
  in_order.apply(complete_listing({}, 1), start);
  in_order.apply(changes(log, 0, count), start);
  item_replica shuffled(seconds(60));
  shuffled.apply(complete_listing({}, 1), start);
  auto order = log;
  for (std::size_t i = order.size(); i > 1; --i) {
    std::swap(order[i - 1], order[*rc::gen::inRange<std::size_t>(0, i)]);
  }
  for (const auto& each : order) {
    shuffled.apply(changes({each}, count, count), start);
    shuffled.apply(changes({order.front()}, count, count), start);
  }
  for (const auto& each : log) {
    const auto* left = in_order.find(each.key);
    const auto* right = shuffled.find(each.key);
    RC_ASSERT(left != nullptr && right != nullptr);
    RC_ASSERT(left->changed == right->changed);
    RC_ASSERT(left->removed == right->removed);
    RC_ASSERT(left->removed || left->value == right->value);
  }
}

// Guards against losing the last value of an item whose removal became known
// first, as flows of a removed upstream need it.
BOOST_AUTO_TEST_CASE(removals_may_become_known_before_the_value) {
  constexpr time_point now{seconds(100)};
  item_replica replica(seconds(60));
  replica.apply({{{"a", {}, revision(7), true, false, {}}},
                 false,
                 revision{},
                 revision(7)},
                now);
  const kv_item with_value{"a", "last", revision(7), true, false, {}};
  BOOST_CHECK_EQUAL(replica.apply({{with_value}, false, {}, {}}, now).size(),
                    1U);
  BOOST_CHECK(replica.find("a")->removed);
  BOOST_CHECK_EQUAL(replica.find("a")->value, "last");
  BOOST_CHECK(replica.apply({{with_value}, false, {}, {}}, now).empty());
}

kv_item item_of(std::uint64_t era, std::uint64_t number,
                const std::string& value, bool restored = false) {
  return {"a", value, {store_era(era), number}, false, false, {}, restored};
}

/// Values of the key "v" are numbers that their writer only increases.
std::partial_ordering order_of_values(const kv_item& left,
                                      const kv_item& right) {
  return left.key == "v" ? std::stoi(left.value) <=> std::stoi(right.value)
                         : std::partial_ordering::unordered;
}

struct restored_fixture {
  /// The replica knows "a" at revision 9 of era 1; the copy has revision 4.
  restored_fixture() {
    replica.apply({{item_of(1, 9, "new")}, true, {}, {store_era(1), 9}}, start);
    replica.apply({{item_of(2, 4, "old", true)}, true, {}, {store_era(2), 5}},
                  start);
  }
  std::string value() const { return replica.find("a")->value; }
  std::vector<kv_item> settle(duration after) {
    replica.confirm(start + after);
    return replica.settle(start + after);
  }
  item_replica replica{seconds(60)};
};

// Guards against a version that the store has lost and that is dropped before
// its writer can write it again.
BOOST_FIXTURE_TEST_CASE(lost_versions_wait_for_their_writer, restored_fixture) {
  BOOST_CHECK_EQUAL(value(), "new");
  BOOST_CHECK(replica.at() == revision(store_era(2), 5));
  BOOST_CHECK(settle(rewrite_time - milliseconds(1)).empty());
  BOOST_CHECK_EQUAL(settle(rewrite_time).size(), 1U);
  BOOST_CHECK_EQUAL(value(), "old");
}

// Guards against holding back what is written after the restore, also with a
// revision that was given out before.
BOOST_FIXTURE_TEST_CASE(later_writes_take_effect_at_once, restored_fixture) {
  const revision at{store_era(2), 6};
  const auto updated = replica.apply(
      {{item_of(2, 6, "newest")}, false, {store_era(2), 5}, at}, start);
  BOOST_CHECK_EQUAL(updated.size(), 1U);
  BOOST_CHECK_EQUAL(value(), "newest");
  BOOST_CHECK(settle(rewrite_time).empty());
}

// Guards against a restore that is announced as a change of everything.
BOOST_FIXTURE_TEST_CASE(unchanged_items_are_not_updated, restored_fixture) {
  settle(rewrite_time);
  const auto updated = replica.apply(
      {{item_of(3, 4, "old", true)}, true, {}, {store_era(3), 5}}, start);
  BOOST_CHECK(updated.empty());
  BOOST_CHECK_EQUAL(replica.kept_count(), 0U);
  const revision known{store_era(2), 5};
  BOOST_CHECK(replica.changes_after(known).items.empty());
  BOOST_CHECK(!replica.changes_after(known).complete);
}

// Guards against a member that is told of the changes since a revision that
// this one never knew, so that it keeps what the store has lost.
BOOST_FIXTURE_TEST_CASE(unknown_revisions_get_all_items, restored_fixture) {
  BOOST_CHECK(!replica.changes_after({store_era(1), 9}).complete);
  BOOST_CHECK(replica.changes_after({store_era(1), 10}).complete);
  const auto changes = replica.changes_after({store_era(1), 9});
  BOOST_CHECK(changes.bridge == revision(store_era(1), 9));
  item_replica ahead(seconds(60));
  ahead.apply({{}, true, {}, {store_era(1), 10}}, start);
  BOOST_CHECK(!ahead.reaches(changes));
}

// Guards against answers of the lost history that count as news.
BOOST_FIXTURE_TEST_CASE(answers_of_the_lost_history_are_old, restored_fixture) {
  settle(rewrite_time);
  const item_listing late{
      {item_of(1, 9, "new")}, true, {}, {store_era(1), 99}, {}};
  BOOST_CHECK(replica.apply(late, start + rewrite_time).empty());
  BOOST_CHECK_EQUAL(value(), "old");
  BOOST_CHECK(replica.at() == revision(store_era(2), 5));
}

/// A store that is restored now and then, and processes that read it, ask each
/// other and start anew.
struct restored_world {
  static constexpr std::size_t replica_count = 4;
  static constexpr milliseconds max_copy_age{4000};

  restored_world() {
    // Each copy has a first version of "v".
    write("v", "0");
    clock.run_for(max_copy_age);
    for (std::size_t i = 0; i < replica_count; ++i) {
      restart(i);
    }
  }
  void restart(std::size_t i) {
    replicas.at(i) =
        std::make_unique<item_replica>(seconds(60), order_of_values);
    highest.at(i) = 0;
  }
  void write(const std::string& key, const std::string& value) {
    written[key] = value;
    value.empty() ? store.remove(key) : store.put(key, value);
  }
  void write_lost_items() {
    for (const auto& [key, value] : written) {
      if (store.value_at(key) != value) {
        write(key, value);
      }
    }
  }
  void read_store(std::size_t i) {
    auto& replica = *replicas[i];
    const auto events = store.events_after({}, replica.at());
    item_listing answer{events.items, false, replica.at(), events.at, {}};
    if (events.error != error_kind::none || events.era != replica.at().era) {
      answer = {store.list({}, {}, duration(0)).items, true, {}, store.at()};
      for (auto& each : answer.items) {
        each.restored = replica.at() != revision{};
      }
    }
    apply(i, answer);
    replica.confirm(clock.now());
  }
  void ask(std::size_t i, std::size_t other) {
    auto& replica = *replicas[i];
    apply(i, replicas[other]->changes_after(replica.at()));
    apply(i, {replicas[other]->unlisted(), false, {}, {}});
    if (replica.at() == replicas[other]->at()) {
      replica.confirm(replicas[other]->confirmed_at());
    }
  }
  /// Asks, but the answer arrives later, or several times.
  void ask_slowly(std::size_t i, std::size_t other) {
    late.emplace_back(i, replicas[other]->changes_after(replicas[i]->at()));
    late.emplace_back(i,
                      item_listing{replicas[other]->unlisted(), false, {}, {}});
  }
  void receive_late(std::size_t which) {
    if (!late.empty()) {
      const auto& [to, listing] = late[which % late.size()];
      apply(to, listing);
    }
  }
  void apply(std::size_t i, const item_listing& listing) {
    replicas[i]->apply(listing, clock.now());
    check(i);
  }
  void settle() {
    clock.run_for(milliseconds(700));
    for (std::size_t i = 0; i < replica_count; ++i) {
      replicas[i]->settle(clock.now());
      check(i);
    }
  }
  void check(std::size_t i) {
    if (const auto* found = replicas[i]->find("v")) {
      RC_ASSERT(std::stoi(found->value) >= highest[i]);
      highest[i] = std::stoi(found->value);
    }
  }
  bool is_up_to_date(std::size_t i) const {
    for (const auto& [key, value] : written) {
      const auto* found = replicas[i]->find(key);
      const bool is_present = found != nullptr && !found->removed;
      if (value.empty() ? is_present : !is_present || found->value != value) {
        return false;
      }
    }
    return true;
  }

  scheduler clock;
  fake_kv_store store{clock};
  /// What the writers have written last; empty if removed.
  std::map<std::string, std::string> written;
  std::array<std::unique_ptr<item_replica>, replica_count> replicas;
  std::vector<std::pair<std::size_t, item_listing>> late;
  /// The highest version that each replica has had in force.
  std::array<int, replica_count> highest{};
};

// Guards against replicas that differ for good, or revert to an older version
// of an ordered item, after any series of restores, reads, questions and
// starts.
RC_BOOST_PROP(replicas_agree_after_restores, ()) {
  restored_world world;
  int version = 0;
  const auto pick = [](std::int64_t below) {
    return *rc::gen::inRange<std::int64_t>(0, below);
  };
  const auto steps = pick(60);
  for (int step = 0; step < steps; ++step) {
    const auto i = static_cast<std::size_t>(pick(4));
    const std::string key(1, static_cast<char>('a' + pick(4)));
    switch (pick(12)) {
      case 0:
        world.store.restore(milliseconds(pick(world.max_copy_age.count())));
        break;
      case 1:
        world.restart(i);
        break;
      case 2:
        world.write("v", std::to_string(++version));
        break;
      case 3:
        world.write(key, pick(3) == 0 ? "" : std::to_string(step));
        break;
      case 4:
        world.write_lost_items();
        break;
      case 5:
        world.settle();
        break;
      case 6:
        world.ask(i, static_cast<std::size_t>(pick(4)));
        break;
      case 7:
        world.ask_slowly(i, static_cast<std::size_t>(pick(4)));
        break;
      case 8:
        world.receive_late(static_cast<std::size_t>(pick(100)));
        break;
      default:
        world.read_store(i);
    }
  }
  world.write_lost_items();
  for (int round = 0; round < 6; ++round) {
    for (std::size_t i = 0; i < 2; ++i) {
      world.read_store(i);
    }
    // The others know the store only from members.
    world.ask(2, 0);
    world.ask(3, 1);
    world.settle();
  }
  for (std::size_t i = 0; i < 4; ++i) {
    RC_ASSERT(world.is_up_to_date(i));
  }
}

}  // namespace
}  // namespace rosemarydrum
