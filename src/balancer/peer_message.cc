#include "rosemarydrum/balancer/peer_message.h"

#include "balancer/peer_codec.h"
#include "packed_message.h"

namespace rosemarydrum {

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
  auto encoded = detail::to_packed(builder);
  // The largest list (4,096 events) takes 480 KB.
  return encoded.size() > max_peer_message ? bytes() : std::move(encoded);
}

std::optional<peer_message> decode_peer_message(bytes_view encoded) {
  return detail::read_packed<wire::PeerMessage>(
      encoded, max_peer_message,
      [](wire::PeerMessage::Reader root) -> std::optional<peer_message> {
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
      });
}

}  // namespace rosemarydrum
