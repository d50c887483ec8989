#include "forwarder/log_fields.h"

#include <array>
#include <charconv>

#include "rosemarydrum/address_text.h"

namespace rosemarydrum {

std::string text_of(const flow_ends& flow) {
  return to_string(flow.caller) + ">" + to_string(flow.service);
}

std::string text_of(upstream_key key) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 value_of(key), 16)
                       .ptr;
  return {digits.data(), end};
}

boost::json::object with_revision(boost::json::object fields,
                                  const revision& shown) {
  fields["era"] = value_of(shown.era);
  fields["revision"] = shown.number;
  return fields;
}

}  // namespace rosemarydrum
