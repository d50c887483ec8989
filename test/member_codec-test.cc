#define BOOST_TEST_MODULE member_codec
#include "rosemarydrum/spread/member_codec.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

// Guards against a record that other members decode differently.
BOOST_AUTO_TEST_CASE(records_round_trip) {
  const member_record member{"node-1", "north", {0x0a010007, 7700}, 250};
  BOOST_CHECK(decode_member(member_key("node-1"), encode_member(member)) ==
              member);
}

// Guards against malformed records that crash the process or are accepted.
BOOST_AUTO_TEST_CASE(malformed_records_are_rejected) {
  const auto key = member_key("node-1");
  for (const std::string text :
       {"", "{", "[]", "{}", R"({"data_centre":"north"})",
        R"({"data_centre":1,"address":"10.0.0.1:1","capacity":1})",
        R"({"data_centre":"n","address":"10.0.0.1","capacity":1})",
        R"({"data_centre":"n","address":"10.0.0.1:1","capacity":-1})",
        R"({"data_centre":"n","address":"10.0.0.1:1","capacity":1.5})"}) {
    BOOST_CHECK(!decode_member(key, text));
  }
  const auto valid = encode_member({"n", "north", {1, 2}, 3});
  BOOST_CHECK(!decode_member("servers/n", valid));
  BOOST_CHECK(!decode_member(member_key(""), valid));
}

}  // namespace
}  // namespace rosemarydrum
