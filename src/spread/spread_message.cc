#include "rosemarydrum/spread/spread_message.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "quiet_callback.h"
#include "spread.capnp.h"

namespace rosemarydrum {
namespace {

// Packing shrinks runs of zeros up to 1,000 times, so the unpacked size has
// its own bound.
constexpr std::uint64_t max_unpacked_words = 4 * max_spread_message / 8;
// The deepest message is list, element, text.
constexpr int max_nesting = 8;

void write(const kv_item& item, wire::StoreItem::Builder to) {
  to.setKey(item.key);
  to.setValue(kj::arrayPtr(reinterpret_cast<const kj::byte*>(item.value.data()),
                           item.value.size()));
  to.setChanged(value_of(item.changed));
  to.setRemoved(item.removed);
  to.setOmitted(item.omitted);
}

kv_item read(wire::StoreItem::Reader from) {
  const auto value = from.getValue();
  return {from.getKey().cStr(),
          {reinterpret_cast<const char*>(value.begin()), value.size()},
          revision(from.getChanged()),
          from.getRemoved(),
          from.getOmitted(),
          {}};
}

void write(const bulletin& told,
           wire::SpreadMessage::Kind::Bulletin::Builder to) {
  to.setReading(told.reading);
  to.setLeaving(told.leaving);
  to.setComplete(told.listing.complete);
  to.setAfter(value_of(told.listing.after));
  to.setShownAt(value_of(told.listing.at));
  to.setAgeMs(static_cast<std::uint32_t>(told.age.count()));
  auto items = to.initItems(static_cast<unsigned>(told.listing.items.size()));
  for (unsigned i = 0; i < items.size(); ++i) {
    write(told.listing.items[i], items[i]);
  }
}

bulletin read(wire::SpreadMessage::Kind::Bulletin::Reader from) {
  bulletin told;
  told.reading = from.getReading();
  told.leaving = from.getLeaving();
  told.age = milliseconds(from.getAgeMs());
  told.listing.complete = from.getComplete();
  told.listing.after = revision(from.getAfter());
  told.listing.at = revision(from.getShownAt());
  for (const auto item : from.getItems()) {
    told.listing.items.push_back(read(item));
  }
  return told;
}

}  // namespace

bytes encode(const spread_message& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::SpreadMessage>();
  root.setSender(message.sender);
  root.setRun(value_of(message.run));
  root.setAt(value_of(message.at));
  root.setLogicalTime(message.logical_time);
  if (const auto* told = std::get_if<bulletin>(&message.body)) {
    write(*told, root.getKind().initBulletin());
  } else {
    root.getKind().setInquiry();
  }
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, builder);
  const auto written = out.getArray();
  return {written.begin(), written.end()};
}

std::optional<spread_message> decode_spread_message(bytes_view encoded) {
  if (encoded.empty() || encoded.size() > max_spread_message) {
    return std::nullopt;
  }
  const detail::quiet_callback quiet;
  try {
    kj::ArrayInputStream in(kj::arrayPtr(encoded.data(), encoded.size()));
    capnp::PackedMessageReader reader(
        in, capnp::ReaderOptions{max_unpacked_words, max_nesting});
    const auto root = reader.getRoot<wire::SpreadMessage>();
    spread_message message;
    message.sender = root.getSender().cStr();
    message.run = incarnation(root.getRun());
    message.at = revision(root.getAt());
    message.logical_time = root.getLogicalTime();
    switch (root.getKind().which()) {
      case wire::SpreadMessage::Kind::BULLETIN:
        message.body = read(root.getKind().getBulletin());
        return message;
      case wire::SpreadMessage::Kind::INQUIRY:
        message.body = inquiry{};
        return message;
    }
  } catch (const kj::Exception&) {
    // Malformed; the caller counts it.
  }
  return std::nullopt;
}

}  // namespace rosemarydrum
