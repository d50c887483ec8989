#include "packed_message.h"

namespace rosemarydrum::detail {

bytes to_packed(capnp::MessageBuilder& message) {
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto written = out.getArray();
  return {written.begin(), written.end()};
}

}  // namespace rosemarydrum::detail
