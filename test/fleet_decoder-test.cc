#define BOOST_TEST_MODULE fleet_decoder
#include "platform/fleet_decoder.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "fleet/platform_texts.h"
#include "rosemarydrum/address_text.h"

namespace rosemarydrum::platform {
namespace {

kv_item item(const std::string& key, const std::string& value) {
  return {key, value, revision(5), false, false, {}};
}

upstream_change decode_entry(const std::string& value,
                             const std::string& key = "servers/i-7f3a91c2") {
  const auto change = fleet_decoder().decode(item(key, value));
  BOOST_REQUIRE(change);
  return std::get<upstream_change>(change->content);
}

// Example of an entry from the protocol page.
const std::string entry_text =
    R"({"Service":"huvo11a","Addr":"10.128.0.9:8080","Zone":"hartford",)"
    R"("Version":"v1","Concurrency":4,"State":"ready","WarmupLeftMs":0,)"
    R"("Seq":4})";

// Guards against entry fields that are decoded wrongly.
BOOST_AUTO_TEST_CASE(the_example_of_an_entry_is_read) {
  const auto change = decode_entry(entry_text);
  BOOST_CHECK(change.state == record_state::present);
  const auto& record = change.record;
  BOOST_CHECK(record.key == upstream_key(0x7f3a91c2));
  BOOST_CHECK_EQUAL(record.service, "huvo11a");
  BOOST_CHECK_EQUAL(record.data_centre, "hartford");
  BOOST_CHECK_EQUAL(to_string(record.address), "10.128.0.9:8080");
  BOOST_CHECK_EQUAL(record.slots, 4);
  BOOST_CHECK(!record.draining);
  BOOST_CHECK(record.run == incarnation{});
  const auto cold = decode_entry(platform_texts::text(
      {.state = "draining", .cold_ms = 1500, .born = 1'700'000'000'123}));
  BOOST_CHECK(cold.record.draining);
  BOOST_CHECK(cold.record.cold_left == milliseconds(1500));
  BOOST_CHECK(cold.record.run == incarnation(1'700'000'000'123));
}

// Guards against a malformed entry that yields a usable upstream.
BOOST_AUTO_TEST_CASE(wrong_entries_are_unreadable) {
  const auto replaced = [](const std::string& from, const std::string& to) {
    auto text = entry_text;
    text.replace(text.find(from), from.size(), to);
    return text;
  };
  for (const auto& text : {std::string(),
                           std::string("{"),
                           std::string("\xff\xfe"),
                           std::string("[]"),
                           std::string("{}"),
                           replaced("\"Service\":\"huvo11a\",", ""),
                           replaced("\"huvo11a\"", "7"),
                           replaced("\"huvo11a\"", "\"\""),
                           replaced("10.128.0.9:8080", "10.128.0.9"),
                           replaced("10.128.0.9:8080", "host:80"),
                           replaced("\"hartford\"", "null"),
                           replaced("\"v1\"", "1"),
                           replaced("Concurrency\":4", "Concurrency\":0"),
                           replaced("Concurrency\":4", "Concurrency\":\"4\""),
                           replaced("ready", "leaving"),
                           replaced("\"ready\"", "true"),
                           replaced("WarmupLeftMs\":0", "WarmupLeftMs\":-1"),
                           replaced("WarmupLeftMs\":0", "WarmupLeftMs\":\"0\""),
                           replaced("\"Seq\":4", "\"Seq\":\"4\""),
                           replaced("\"Seq\":4", "\"Seq\":4,\"born\":1.5"),
                           replaced("\"Seq\":4", "\"Seq\":4,\"born\":\"x\"")}) {
    BOOST_CHECK_MESSAGE(decode_entry(text).state == record_state::unreadable,
                        text);
  }
  // Unknown fields are ignored, because new ones may be added.
  BOOST_CHECK(
      decode_entry(replaced("\"Seq\":4", "\"Seq\":4,\"New\":[1]")).state ==
      record_state::present);
}

// Guards against backend ids that are decoded to the wrong key.
BOOST_AUTO_TEST_CASE(keys_are_the_hex_digits_of_ids) {
  BOOST_CHECK(decode_entry(entry_text, "servers/i-e7dd864c2a").record.key ==
              upstream_key(0xe7dd864c2a));
  for (const auto* key : {"servers/", "servers/i-", "servers/i-xyz",
                          "servers/i-10123456789abcdef"}) {
    BOOST_CHECK(!fleet_decoder().decode(item(key, entry_text)));
  }
}

// Guards against losing the flows of an upstream whose entry is removed: the
// removal must carry the last record.
BOOST_AUTO_TEST_CASE(removals_keep_the_last_entry) {
  auto removed = item("servers/i-7f3a91c2", entry_text);
  removed.removed = true;
  const auto change = fleet_decoder().decode(removed);
  const auto& upstream = std::get<upstream_change>(change->content);
  BOOST_CHECK(upstream.state == record_state::removed);
  BOOST_CHECK_EQUAL(upstream.record.address.port, 8080);
  removed.value.clear();
  BOOST_CHECK(
      std::get<upstream_change>(fleet_decoder().decode(removed)->content)
          .record.service.empty());
}

// Guards against a configuration that is decoded wrongly. The text is the
// example of the protocol page.
BOOST_AUTO_TEST_CASE(configurations_are_read) {
  const std::string text =
      R"({"Version":7,"Routes":[{"Name":"r-a3","Host":"198.18.0.1",)"
      R"("Prefix":"/8443/","Type":"idempotent","TimeoutMs":1500,"SloMs":300,)"
      R"("Priority":2,"Split":[{"Service":"huvo11a","Weight":90},)"
      R"({"Service":"wuno96b","Weight":10}],"Attempts":2},{"Name":"r-x7",)"
      R"("Host":"198.18.0.1","Prefix":"/8080/","Type":"non_idempotent",)"
      R"("TimeoutMs":2000,"SloMs":300,"Priority":1,"Service":"huvo11a",)"
      R"("Attempts":2}],"Services":[{"Name":"huvo11a","HealthPath":"/health",)"
      R"("MaxConns":2000,"Proto":"h1","Tls":false,"WarmupS":2.0,)"
      R"("WarmupPerS":0.5}],"Limits":{"MaxHeaderBytes":16384,)"
      R"("IdleTimeoutMs":15000}})";
  const auto change = fleet_decoder().decode(item("op/config", text));
  BOOST_REQUIRE(change);
  const auto& read = *std::get<configuration_change>(change->content).value;
  BOOST_CHECK_EQUAL(read.version, 7U);
  BOOST_CHECK(read.idle_timeout == milliseconds(15000));
  BOOST_REQUIRE_EQUAL(read.routes.size(), 2U);
  BOOST_CHECK_EQUAL(to_string(read.routes[0].address), "198.18.0.1:8443");
  BOOST_CHECK(read.routes[0].targets ==
              (std::vector<route_target>{{"huvo11a", 90}, {"wuno96b", 10}}));
  BOOST_CHECK(read.routes[1].type == request_type::non_idempotent);
  BOOST_CHECK(read.routes[1].targets ==
              (std::vector<route_target>{{"huvo11a", 1}}));
  BOOST_REQUIRE_EQUAL(read.services.size(), 1U);
  BOOST_CHECK(read.services[0].warmup == milliseconds(2000));
  BOOST_CHECK_EQUAL(read.services[0].cold_requests_per_second, 0.5);
}

// Guards against a malformed configuration that replaces the current one.
BOOST_AUTO_TEST_CASE(wrong_configurations_are_refused) {
  const auto good = platform_texts::configuration(1, {{}});
  BOOST_CHECK(fleet_decoder().decode(item("op/config", good)));
  for (const auto& text :
       {std::string(), std::string("{}"), good.substr(0, good.size() / 2),
        std::string(R"({"Version":1,"Routes":[{}]})")}) {
    BOOST_CHECK(!fleet_decoder().decode(item("op/config", text)));
  }
  auto removed = item("op/config", good);
  removed.removed = true;
  BOOST_CHECK(!fleet_decoder().decode(removed));
}

// Guards against missing the start or the end of an evacuation.
BOOST_AUTO_TEST_CASE(evacuations_are_read) {
  auto out = item("op/evacuate/hartford", "{}");
  const auto begun = fleet_decoder().decode(out);
  BOOST_CHECK((std::get<data_centre_change>(begun->content) ==
               data_centre_change{"hartford", true}));
  out.removed = true;
  const auto ended = fleet_decoder().decode(out);
  BOOST_CHECK((std::get<data_centre_change>(ended->content) ==
               data_centre_change{"hartford", false}));
  BOOST_CHECK(!fleet_decoder().decode(item("rosemarydrum/members/a", "{}")));
}

// Guards against an item that crashes the process. Decodes 10^6 random
// mutations of valid items.
BOOST_AUTO_TEST_CASE(random_items_are_survived) {
  const fleet_decoder decoder;
  std::minstd_rand random(13);
  const auto configuration = platform_texts::configuration(1, {{}});
  const std::string_view characters = "0123456789{}[],:\"abZ-. \\\xff";
  int read = 0;
  for (int i = 0; i < 1'000'000; ++i) {
    auto text = i % 8 == 0 ? configuration : entry_text;
    for (int change = 0; change < 2; ++change) {
      text[random() % text.size()] = characters[random() % characters.size()];
    }
    if (i % 5 == 0) {
      text.resize(random() % text.size());
    }
    const auto change =
        decoder.decode(item(i % 8 == 0 ? "op/config" : "servers/i-7f", text));
    const auto* upstream =
        change ? std::get_if<upstream_change>(&change->content) : nullptr;
    read += upstream != nullptr && upstream->state == record_state::present;
  }
  BOOST_CHECK_GT(read, 10'000);
}

// Guards against an older version of a restored store that takes effect, and
// against a restarted upstream whose entry counts as old.
BOOST_AUTO_TEST_CASE(versions_are_ordered_by_content) {
  const fleet_decoder tested;
  const auto configuration = [](int version) {
    return item("op/config", platform_texts::configuration(version, {{}}));
  };
  const auto entry = [](std::int64_t born, std::int64_t seq) {
    return item("servers/i-7",
                platform_texts::text({.cold_ms = 5, .born = born, .seq = seq}));
  };
  const auto is = [&](std::partial_ordering expected, const kv_item& left,
                      const kv_item& right) {
    return tested.compare(left, right) == expected;
  };
  using order = std::partial_ordering;
  BOOST_CHECK(is(order::greater, configuration(11), configuration(4)));
  BOOST_CHECK(is(order::equivalent, configuration(4), configuration(4)));
  BOOST_CHECK(is(order::unordered, configuration(4), item("op/config", "{")));
  BOOST_CHECK(is(order::less, entry(10, 3), entry(10, 4)));
  BOOST_CHECK(is(order::greater, entry(11, 1), entry(10, 9)));
  BOOST_CHECK(is(order::unordered, entry(0, 3), entry(0, 4)));
  BOOST_CHECK(is(order::unordered, item("op/evacuate/north", "{}"),
                 item("op/evacuate/north", "{}")));
}

}  // namespace
}  // namespace rosemarydrum::platform
