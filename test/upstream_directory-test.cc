#define BOOST_TEST_MODULE upstream_directory
#include "rosemarydrum/forwarding/upstream_directory.h"

#include <boost/test/unit_test.hpp>

#include "fleet/directory_fixture.h"

namespace rosemarydrum {
namespace {

constexpr time_point start{seconds(100)};

upstream_change listed(std::uint64_t key, const std::string& service = "desk",
                       std::uint64_t run = 1) {
  return {record_state::present,
          {upstream_key(key),
           service,
           "north",
           {1, 80},
           4,
           false,
           milliseconds(0),
           incarnation(run)},
          milliseconds(0)};
}

upstream_change removed(std::uint64_t key) {
  auto change = listed(key);
  change.state = record_state::removed;
  return change;
}

// Guards against a delayed older change that overwrites a newer one.
BOOST_AUTO_TEST_CASE(older_changes_are_ignored) {
  upstream_directory directory;
  auto draining = listed(7);
  draining.record.draining = true;
  BOOST_REQUIRE(directory.apply(draining, revision(5), start));
  BOOST_CHECK(!directory.apply(listed(7), revision(4), start));
  BOOST_CHECK(!directory.apply(listed(7), revision(5), start));
  BOOST_CHECK(
      !directory.at(*directory.find(upstream_key(7))).takes_flows(start));
}

// Guards against established flows that lose their upstream when its entry is
// removed while it still runs.
BOOST_AUTO_TEST_CASE(gone_upstreams_stay_known_for_their_flows) {
  upstream_directory directory(seconds(60));
  directory.apply(listed(7), revision(1), start);
  directory.apply(removed(7), revision(2), start);
  const auto tag = upstream_directory::tag_of(upstream_key(7));
  BOOST_REQUIRE(directory.find(tag));
  BOOST_CHECK(!directory.at(*directory.find(tag)).takes_flows(start));
  int forgotten = 0;
  directory.forget_gone(start + seconds(59),
                        [&](upstream_index) { ++forgotten; });
  BOOST_CHECK_EQUAL(forgotten, 0);
  directory.forget_gone(start + seconds(60),
                        [&](upstream_index) { ++forgotten; });
  BOOST_CHECK_EQUAL(forgotten, 1);
  BOOST_CHECK(!directory.find(tag));
  BOOST_CHECK(directory.of_service("desk").empty());
}

// Guards against lost flows of an upstream that was removed before this process
// learnt of it.
BOOST_AUTO_TEST_CASE(removed_upstreams_are_learnt) {
  upstream_directory directory;
  BOOST_REQUIRE(directory.apply(removed(9), revision(3), start));
  BOOST_CHECK(directory.find(upstream_directory::tag_of(upstream_key(9))));
  upstream_change bare{record_state::removed, {}, milliseconds(0)};
  bare.record.key = upstream_key(10);
  BOOST_CHECK(!directory.apply(bare, revision(4), start));
}

// Guards against new flows to an upstream whose entry is unreadable, and
// against the loss of its established flows.
BOOST_AUTO_TEST_CASE(unreadable_entries_keep_flows_but_get_none) {
  upstream_directory directory;
  directory.apply(listed(7), revision(1), start);
  upstream_change unreadable{record_state::unreadable, {}, milliseconds(0)};
  unreadable.record.key = upstream_key(7);
  BOOST_REQUIRE(directory.apply(unreadable, revision(2), start));
  const auto& known = directory.at(*directory.find(upstream_key(7)));
  BOOST_CHECK(!known.takes_flows(start));
  BOOST_CHECK_EQUAL(known.record.address.port, 80);
}

// Guards against refusing flows because entries expired while the store was
// unavailable and upstreams could not renew them.
BOOST_AUTO_TEST_CASE(lapsed_entries_take_flows_during_the_grace) {
  upstream_directory directory;
  directory.apply(listed(7), revision(1), start);
  auto lapsed = removed(7);
  lapsed.grace = milliseconds(2000);
  directory.apply(lapsed, revision(2), start);
  const auto& known = directory.at(*directory.find(upstream_key(7)));
  BOOST_CHECK(known.takes_flows(start + milliseconds(1999)));
  BOOST_CHECK(!known.takes_flows(start + milliseconds(2000)));
  directory.apply(listed(7), revision(3), start + seconds(1));
  BOOST_CHECK(known.takes_flows(start + seconds(9)));
}

// Guards against new flows to an upstream whose removal is told once more.
BOOST_AUTO_TEST_CASE(repeated_removals_change_nothing) {
  upstream_directory directory;
  directory.apply(listed(7), revision(1), start);
  directory.apply(removed(7), revision(2), start);
  auto repeated = removed(7);
  repeated.grace = milliseconds(2000);
  directory.apply(repeated, revision(3), start + seconds(5));
  const auto& known = directory.at(*directory.find(upstream_key(7)));
  BOOST_CHECK(!known.takes_flows(start + seconds(5)));
}

// Guards against flows of two upstreams with the same tag that are mixed up.
BOOST_AUTO_TEST_CASE(only_the_older_of_two_with_the_same_tag_takes_flows) {
  // Keys above 32 bits are hashed. Searches for two with the same tag.
  std::unordered_map<std::uint32_t, std::uint64_t> key_by_tag;
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  for (std::uint64_t key = std::uint64_t{1} << 40; second == 0; ++key) {
    const auto tag = value_of(upstream_directory::tag_of(upstream_key(key)));
    const auto [found, is_new] = key_by_tag.emplace(tag, key);
    if (!is_new) {
      first = found->second;
      second = key;
    }
  }
  upstream_directory directory;
  directory.apply(listed(second, "desk", 20), revision(1), start);
  directory.apply(listed(first, "desk", 10), revision(2), start);
  const auto& older = directory.at(*directory.find(upstream_key(first)));
  const auto& newer = directory.at(*directory.find(upstream_key(second)));
  BOOST_CHECK(older.takes_flows(start));
  BOOST_CHECK(!newer.takes_flows(start));
  BOOST_CHECK(directory.find(older.tag) == directory.find(upstream_key(first)));
}

// Guards against an upstream that stays listed under its former service.
BOOST_AUTO_TEST_CASE(upstreams_may_change_their_service) {
  upstream_directory directory;
  directory.apply(listed(7, "desk"), revision(1), start);
  directory.apply(listed(7, "vault"), revision(2), start);
  BOOST_CHECK(directory.of_service("desk").empty());
  BOOST_CHECK_EQUAL(directory.of_service("vault").size(), 1U);
}

// FLOW: guards against opening tags that cannot be told from tags, or that are
// another upstream's tag.
BOOST_AUTO_TEST_CASE(opening_tags_are_told_from_tags) {
  directory_fixture fixture;
  const auto one = fixture.add(7, "north");
  const auto tag = fixture.directory.at(one).tag;
  const auto opening = fixture.directory.opening_tag(one);
  BOOST_CHECK(opening != tag);
  BOOST_CHECK(fixture.directory.find(opening) == one);
  BOOST_CHECK(fixture.directory.is_opening_tag(opening));
  BOOST_CHECK(!fixture.directory.is_opening_tag(tag));
  const auto other = fixture.add(value_of(opening), "north");
  BOOST_CHECK(fixture.directory.find(opening) == other);
  BOOST_CHECK(!fixture.directory.is_opening_tag(opening));
  BOOST_CHECK(fixture.directory.opening_tag(one) == tag);
  const auto no_tag = fixture.add(0x8000'0000, "north");
  BOOST_CHECK(fixture.directory.opening_tag(no_tag) ==
              fixture.directory.at(no_tag).tag);
}

// Guards against the tag 0, which means that a packet has no tag.
BOOST_AUTO_TEST_CASE(tags_are_never_zero) {
  BOOST_CHECK(upstream_directory::tag_of(upstream_key(0)) != upstream_tag{});
  BOOST_CHECK_EQUAL(
      value_of(upstream_directory::tag_of(upstream_key(0x7f3a91c2))),
      0x7f3a91c2U);
}

}  // namespace
}  // namespace rosemarydrum
