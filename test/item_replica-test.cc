#define BOOST_TEST_MODULE item_replica
#include "rosemarydrum/store/item_replica.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "fixed_seed.h"

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

}  // namespace
}  // namespace rosemarydrum
