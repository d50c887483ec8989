#include "rosemarydrum/balancer/peer_message.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "balancer/peer_codec.h"
#include "quiet_callback.h"

namespace rosemarydrum {
namespace {

// Packing shrinks runs of zeros up to 1,000 times, so the unpacked size has
// its own bound. The largest list (4,096 events) takes 480 KB.
constexpr std::uint64_t max_unpacked_words = 4 * max_peer_message / 8;
// The deepest message is body, list, element, text.
constexpr int max_nesting = 8;

}  // namespace

bytes encode(const peer_message& message) {
  if (!detail::in_bounds(message.body)) {
    return {};
  }
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::PeerMessage>();
  root.setFromId(value_of(message.from.id));
  root.setFromRun(value_of(message.from.run));
  root.setToRun(value_of(message.to_run));
  root.setLogicalTime(message.logical_time);
  detail::write(message.body, root.initBody());
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, builder);
  const auto written = out.getArray();
  if (written.size() > max_peer_message) {
    return {};
  }
  return {written.begin(), written.end()};
}

std::optional<peer_message> decode_peer_message(bytes_view encoded) {
  if (encoded.empty() || encoded.size() > max_peer_message) {
    return std::nullopt;
  }
  const detail::quiet_callback quiet;
  try {
    kj::ArrayInputStream in(kj::arrayPtr(encoded.data(), encoded.size()));
    capnp::PackedMessageReader reader(
        in, capnp::ReaderOptions{max_unpacked_words, max_nesting});
    const auto root = reader.getRoot<wire::PeerMessage>();
    peer_message message;
    message.from = {balancer_id(root.getFromId()),
                    incarnation(root.getFromRun())};
    message.to_run = incarnation(root.getToRun());
    message.logical_time = root.getLogicalTime();
    if (!detail::read(root.getBody(), message.body) ||
        !detail::in_bounds(message.body)) {
      return std::nullopt;
    }
    return message;
  } catch (const kj::Exception&) {
    // Malformed bytes; all sizes above are bounded, so nothing else throws.
    return std::nullopt;
  }
}

}  // namespace rosemarydrum
