#define BOOST_TEST_MODULE member_codec
#include "rosemarydrum/spread/member_codec.h"

#include <boost/test/unit_test.hpp>

namespace rosemarydrum {
namespace {

// Guards against a record that others read differently.
BOOST_AUTO_TEST_CASE(records_survive_the_store) {
  const member_record member{"node-1", "north", {0x0a010007, 7700}, 250};
  BOOST_CHECK(decode_member(member_key("node-1"), encode_member(member)) ==
              member);
}

// Guards against a record of another writer that ends the process or counts.
BOOST_AUTO_TEST_CASE(wrong_records_are_refused) {
  const auto key = member_key("node-1");
  for (const std::string text :
       {"", "{", "[]", "{}", R"({"data_centre":"north"})",
        R"({"data_centre":1,"address":"10.0.0.1:1","capacity":1})",
        R"({"data_centre":"n","address":"10.0.0.1","capacity":1})",
        R"({"data_centre":"n","address":"10.0.0.1:1","capacity":-1})",
        R"({"data_centre":"n","address":"10.0.0.1:1","capacity":1.5})"}) {
    BOOST_CHECK(!decode_member(key, text));
  }
  const auto good = encode_member({"n", "north", {1, 2}, 3});
  BOOST_CHECK(!decode_member("servers/n", good));
  BOOST_CHECK(!decode_member(member_key(""), good));
}

}  // namespace
}  // namespace rosemarydrum
