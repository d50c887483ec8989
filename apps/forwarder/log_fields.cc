#include "forwarder/log_fields.h"

#include <array>
#include <charconv>

#include "rosemarydrum/address_text.h"

namespace rosemarydrum {
namespace {

std::string to_hex(std::uint64_t number) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, 16)
          .ptr;
  return {digits.data(), end};
}

}  // namespace

std::string text_of(const flow_ends& flow) {
  return to_string(flow.caller) + ">" + to_string(flow.service);
}

std::string text_of(upstream_key key) { return to_hex(value_of(key)); }

std::string text_of(incarnation run) { return to_hex(value_of(run)); }

boost::json::object with_revision(boost::json::object fields,
                                  const revision& shown) {
  fields["era"] = value_of(shown.era);
  fields["revision"] = shown.number;
  return fields;
}

}  // namespace rosemarydrum
