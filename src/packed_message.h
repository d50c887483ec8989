#pragma once

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <cstddef>
#include <cstdint>
#include <utility>

#include "log_suppressor.h"
#include "rosemarydrum/requests/packet.h"

namespace rosemarydrum::detail {

/// Encodes `message` in Cap'n Proto's packed format.
bytes to_packed(capnp::MessageBuilder& message);

/// Passes the root of a packed message to `use` and returns its result. Returns
/// a value-initialised result, such as nullopt, if the message is empty, longer
/// than `max_size` bytes or malformed.
template <typename Root, typename Use>
auto read_packed(bytes_view encoded, std::size_t max_size, Use use)
    -> decltype(use(std::declval<typename Root::Reader>())) {
  if (encoded.empty() || encoded.size() > max_size) {
    return {};
  }
  // Packing compresses zeros by a factor of up to 1,000, so the unpacked size
  // has a bound of its own.
  const std::uint64_t max_words = 4 * max_size / sizeof(capnp::word);
  // The deepest nesting in the schemas is body, list, element, text.
  constexpr int max_nesting = 8;
  const log_suppressor suppressor;
  try {
    kj::ArrayInputStream in(kj::arrayPtr(encoded.data(), encoded.size()));
    capnp::PackedMessageReader reader(
        in, capnp::ReaderOptions{max_words, max_nesting});
    return use(reader.getRoot<Root>());
  } catch (const kj::Exception&) {
    // Malformed; the caller counts such messages.
    return {};
  }
}

}  // namespace rosemarydrum::detail
