#define BOOST_TEST_MODULE stale_listing
#include "store/stale_listing.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace rosemarydrum {
namespace {

kv_item item(const std::string& key, std::uint64_t changed,
             bool removed = false) {
  return {key,
          removed ? "" : std::to_string(changed),
          revision(changed),
          removed,
          false,
          {}};
}

std::map<std::string, std::uint64_t> contents(const item_listing& listing) {
  std::map<std::string, std::uint64_t> found;
  for (const auto& each : listing.items) {
    if (!each.removed) {
      found[each.key] = each.changed.number;
    }
  }
  return found;
}

// Guards against changes that fall between pages of different ages, and against
// trusting the store's revision in a stale answer.
BOOST_AUTO_TEST_CASE(the_oldest_page_sets_the_start) {
  detail::stale_listing listing;
  listing.add_page(
      {error_kind::none, {item("a", 3), item("b", 9)}, revision(50), true});
  listing.add_page(
      {error_kind::none, {item("c", 2), item("d", 4)}, revision(50), false});
  BOOST_CHECK(listing.start() == revision(4));
  const auto complete = listing.complete(
      {error_kind::none,
       {item("c", 5, true), item("e", 6), item("b", 9), item("a", 12)},
       revision(12)});
  BOOST_CHECK(complete.complete);
  BOOST_CHECK(complete.at == revision(12));
  const std::map<std::string, std::uint64_t> expected{
      {"a", 12}, {"b", 9}, {"d", 4}, {"e", 6}};
  BOOST_CHECK(contents(complete) == expected);
  // Open flows of a removed upstream need its last entry.
  const auto removed =
      std::find_if(complete.items.begin(), complete.items.end(),
                   [](const auto& each) { return each.key == "c"; });
  BOOST_REQUIRE(removed != complete.items.end());
  BOOST_CHECK(removed->removed);
  BOOST_CHECK_EQUAL(removed->value, "2");
}

// Guards against an empty page, whose age is unknown.
BOOST_AUTO_TEST_CASE(an_empty_page_has_no_age) {
  detail::stale_listing listing;
  listing.add_page({error_kind::none, {item("a", 3)}, revision(9), true});
  listing.add_page({error_kind::none, {}, revision(9), false});
  BOOST_CHECK(listing.start() == revision{});
}

// As above, with random changes and pages of random ages.
BOOST_AUTO_TEST_CASE(any_mixture_of_ages_is_completed) {
  std::minstd_rand random(3);
  constexpr int keys = 20;
  constexpr std::uint64_t changes = 60;
  for (int round = 0; round < 2000; ++round) {
    std::vector<kv_item> history;
    for (std::uint64_t at = 1; at <= changes; ++at) {
      history.push_back(item("k" + std::to_string(random() % keys + 10), at,
                             random() % 3 == 0));
    }
    const auto as_of = [&](std::uint64_t at, const std::string& begin,
                           const std::string& end) {
      std::map<std::string, kv_item> items;
      for (const auto& each : history) {
        if (each.changed.number <= at && each.key >= begin && each.key < end) {
          items[each.key] = each;
        }
      }
      std::vector<kv_item> present;
      for (const auto& [key, each] : items) {
        if (!each.removed) {
          present.push_back(each);
        }
      }
      return present;
    };
    detail::stale_listing listing;
    for (const auto& [begin, end] :
         {std::pair("k", "k15"), std::pair("k15", "k22"),
          std::pair("k22", "l")}) {
      listing.add_page({error_kind::none,
                        as_of(random() % changes + 1, begin, end),
                        revision(changes), false});
    }
    kv_watch_result since{error_kind::none, {}, revision(changes)};
    for (const auto& each : history) {
      if (each.changed > listing.start()) {
        since.items.push_back(each);
      }
    }
    const item_listing expected{as_of(changes, "k", "l"), true, {}, {}};
    BOOST_REQUIRE(contents(listing.complete(since)) == contents(expected));
  }
}

}  // namespace
}  // namespace rosemarydrum
