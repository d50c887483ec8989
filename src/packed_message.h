#pragma once

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <cstddef>
#include <cstdint>
#include <utility>

#include "quiet_callback.h"
#include "rosemarydrum/requests/packet.h"

namespace rosemarydrum::detail {

bytes to_packed(capnp::MessageBuilder& message);

/// Passes the root of a packed message to `use` and returns its result; the
/// default, such as nullopt, if the message is empty, longer than `longest` or
/// malformed.
template <typename Root, typename Use>
auto read_packed(bytes_view encoded, std::size_t longest, Use use)
    -> decltype(use(std::declval<typename Root::Reader>())) {
  if (encoded.empty() || encoded.size() > longest) {
    return {};
  }
  // Packing shrinks runs of zeros up to 1,000 times, so the unpacked size has
  // its own bound.
  const std::uint64_t most_words = 4 * longest / sizeof(capnp::word);
  // The deepest message is body, list, element, text.
  constexpr int max_nesting = 8;
  const quiet_callback quiet;
  try {
    kj::ArrayInputStream in(kj::arrayPtr(encoded.data(), encoded.size()));
    capnp::PackedMessageReader reader(
        in, capnp::ReaderOptions{most_words, max_nesting});
    return use(reader.getRoot<Root>());
  } catch (const kj::Exception&) {
    // Malformed; the caller counts it.
    return {};
  }
}

}  // namespace rosemarydrum::detail
