#define BOOST_TEST_MODULE odd_entries
// Entries that another writer left among those of the upstreams: they must
// neither end a process nor keep it from following the other entries.
#include <boost/json/parse.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

#include "fleet/three_data_centres.h"
#include "platform/store_answers.h"
#include "rosemarydrum/forwarding/upstream_directory.h"

namespace rosemarydrum {
namespace {

constexpr int default_inputs = 100'000;

/// Number of random inputs of each property.
int input_count() {
  const auto* count = std::getenv("ROSEMARYDRUM_INPUTS");
  return count == nullptr ? default_inputs : std::atoi(count);
}

std::string with_field(const std::string& field, const std::string& value) {
  auto text = platform_texts::text({});
  const auto name = "\"" + field + "\":";
  const auto begin = text.find(name) + name.size();
  const auto end = text.find_first_of(",}", begin);
  return text.replace(begin, end - begin, value);
}

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

const std::vector<std::string>& odd_entries() {
  static const std::vector<std::string> texts{
      "",
      "null",
      "\xff\xfe\x01",
      nested(100'000),
      R"({"Service":)" + nested(100'000) + "}",
      with_field("WarmupLeftMs", nested(5'000)),
      with_field("WarmupLeftMs", "1e300"),
      with_field("WarmupLeftMs", "1e999"),
      with_field("WarmupLeftMs", "1e18"),
      with_field("WarmupLeftMs", "9223372036854775807"),
      with_field("WarmupLeftMs", "18446744073709551615"),
      with_field("WarmupLeftMs", "-1e300"),
      with_field("Concurrency", "1e300"),
      with_field("Concurrency", "99999999999999999999999999"),
      with_field("Concurrency", "-1"),
      with_field("born", "1e300"),
      with_field("born", "18446744073709551615"),
      with_field("Seq", "1e999"),
      with_field("Addr", R"("10.1.64.1:65536")"),
      with_field("Addr", R"("10.1.64.1:-1")"),
      with_field("Addr", R"("10.1.64.1:99999999999999999999")"),
      with_field("Addr", R"("10.1.64.256:80")"),
      with_field("Zone", R"("\u0000")"),
  };
  return texts;
}

// The last digits of a number are the most frequent place of a mutation,
// because numbers are what is converted without a check.
std::string mutated(std::minstd_rand& random) {
  auto text = platform_texts::text({.cold_ms = 1500});
  const std::vector<std::string> inserts{
      "e300", "e18", "99999999999999999999", "[[[[", "}", "\"", "\\u0000",
      "-",    ".5"};
  const auto changes = 1 + random() % 3;
  for (unsigned i = 0; i < changes; ++i) {
    const auto at = random() % text.size();
    switch (random() % 3) {
      case 0:
        text[at] = static_cast<char>(random() % 256);
        break;
      case 1:
        text.insert(at, inserts[random() % inserts.size()]);
        break;
      default:
        if (const auto digit = text.find_first_of("0123456789", at);
            digit != std::string::npos) {
          text.insert(digit + 1, inserts[random() % inserts.size()]);
        }
    }
  }
  return text;
}

/// Applies an entry as a forwarder does.
void apply_entry(const std::string& text, upstream_directory& directory,
                 revision changed) {
  const auto now = runtime_clock::now();
  const auto change = platform::fleet_decoder().decode(
      {"servers/i-7f3a91c2", text, changed, false, false, {}});
  BOOST_REQUIRE(change);
  const auto& upstream = std::get<upstream_change>(change->content);
  BOOST_REQUIRE(upstream.record.cold_left >= milliseconds(0));
  directory.apply(upstream, changed, now);
}

// Guards against numbers that overflow when they are converted or added to a
// time, and against unbounded recursion.
BOOST_AUTO_TEST_CASE(odd_entries_are_unreadable) {
  for (const auto& text : odd_entries()) {
    const auto change = platform::fleet_decoder().decode(
        {"servers/i-1", text, revision(1), false, false, {}});
    BOOST_REQUIRE(change);
    const auto state = std::get<upstream_change>(change->content).state;
    // A data centre may have any name.
    const bool is_usable = text.find("u0000") != std::string::npos;
    BOOST_CHECK_MESSAGE((state == record_state::unreadable) != is_usable,
                        text.substr(0, 200));
  }
}

// As above, for random entries.
BOOST_AUTO_TEST_CASE(random_entries_are_survived) {
  std::minstd_rand random(7);
  upstream_directory directory;
  for (int i = 1; i <= input_count(); ++i) {
    apply_entry(mutated(random), directory, revision(i));
  }
}

// Guards against a store answer of which one odd value hides all other items.
BOOST_AUTO_TEST_CASE(one_odd_value_does_not_hide_a_page) {
  for (const std::string value :
       {R"("%%%")", "7", "null", "[[1]]", R"("e30")", R"("=e30=")"}) {
    const std::string rows =
        R"([{"Key":"servers/i-1","Value":)" + value +
        R"(,"Rev":3,"Lease":0},{"Key":"servers/i-2","Value":"e30=","Rev":4}])";
    const auto page = platform::parse_read_result(
        {error_kind::none, true, 200,
         R"({"items":)" + rows + R"(,"MorePages":false,"CurrentRev":5})"});
    BOOST_REQUIRE(page.error == error_kind::none);
    BOOST_REQUIRE_EQUAL(page.items.size(), 2U);
    BOOST_CHECK_EQUAL(page.items[1].value, "{}");
    const auto events = platform::parse_watch_result(
        {error_kind::none, true, 200,
         R"({"events":)" + rows + R"(,"CurrentRev":5})"});
    BOOST_REQUIRE(events.error == error_kind::none);
    BOOST_CHECK_EQUAL(events.items.size(), 2U);
  }
}

// Guards against a fleet that stops following the store: an upstream that
// drains after the odd entry was written must not get new flows.
BOOST_DATA_TEST_CASE(the_fleet_goes_on,
                     boost::unit_test::data::xrange(odd_entries().size()),
                     index) {
  three_data_centres fleet;
  fleet.store.put("servers/i-0dd", odd_entries()[index]);
  fleet.store.put("servers/", odd_entries()[index]);
  fleet.store.put("rosemarydrum/members/odd", odd_entries()[index]);
  fleet.run_for(seconds(1));
  fleet.upstreams.at("a0")->entry.state = "draining";
  fleet.write_entry("a0");
  const auto changed_at = fleet.clock.now();
  fleet.restart("centre-2");
  fleet.load(20, seconds(5));
  fleet.run_for(seconds(7));
  BOOST_CHECK_EQUAL(
      fleet.upstreams.at("a0")->openings_since(changed_at + seconds(1)), 0U);
  BOOST_CHECK_EQUAL(fleet.failed(), 0U);
}

}  // namespace
}  // namespace rosemarydrum
