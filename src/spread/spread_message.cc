#include "rosemarydrum/spread/spread_message.h"

#include <algorithm>
#include <array>

#include "packed_message.h"
#include "spread.capnp.h"

namespace rosemarydrum {
namespace {

void write(const kv_item& item, wire::StoreItem::Builder to) {
  to.setKey(item.key);
  to.setValue(kj::arrayPtr(reinterpret_cast<const kj::byte*>(item.value.data()),
                           item.value.size()));
  to.setEra(value_of(item.changed.era));
  to.setChanged(item.changed.number);
  to.setRemoved(item.removed);
  to.setOmitted(item.omitted);
  to.setRestored(item.restored);
  if (item.removed_for) {
    const auto age = std::max(*item.removed_for, milliseconds(1));
    to.setRemovedForMs(static_cast<std::uint32_t>(age.count()));
  }
}

// Texts may contain zero bytes.
std::string read(capnp::Text::Reader from) {
  return {from.begin(), from.size()};
}

kv_item read(wire::StoreItem::Reader from) {
  const auto value = from.getValue();
  const auto age = from.getRemovedForMs();
  return {read(from.getKey()),
          {reinterpret_cast<const char*>(value.begin()), value.size()},
          {store_era(from.getEra()), from.getChanged()},
          from.getRemoved(),
          from.getOmitted(),
          {},
          from.getRestored(),
          age == 0 ? std::nullopt : std::optional(milliseconds(age))};
}

void write(const std::vector<flow_record>& records,
           capnp::List<wire::FlowRecord>::Builder to) {
  for (unsigned i = 0; i < to.size(); ++i) {
    const auto& from = records[i];
    to[i].setCallerAddress(from.flow.caller.address);
    to[i].setCallerPort(from.flow.caller.port);
    to[i].setServiceAddress(from.flow.service.address);
    to[i].setServicePort(from.flow.service.port);
    to[i].setOpening(from.kind == flow_record_kind::opening);
    to[i].setUpstream(value_of(from.upstream));
    to[i].setAgeMs(static_cast<std::uint32_t>(from.age.count()));
  }
}

std::vector<flow_record> read(capnp::List<wire::FlowRecord>::Reader from) {
  std::vector<flow_record> records;
  records.reserve(from.size());
  for (const auto each : from) {
    records.push_back(
        {{{each.getCallerAddress(), each.getCallerPort()},
          {each.getServiceAddress(), each.getServicePort()}},
         each.getOpening() ? flow_record_kind::opening : flow_record_kind::open,
         upstream_key(each.getUpstream()),
         milliseconds(each.getAgeMs())});
  }
  return records;
}

// In the order of sighting_kind.
constexpr std::array sighting_kinds{
    wire::UpstreamSighting::Kind::ANSWER,
    wire::UpstreamSighting::Kind::LOST_DATA,
    wire::UpstreamSighting::Kind::UNANSWERED_HANDSHAKE};

void write(const std::vector<upstream_sighting>& sightings,
           capnp::List<wire::UpstreamSighting>::Builder to) {
  for (unsigned i = 0; i < to.size(); ++i) {
    const auto& from = sightings[i];
    to[i].setUpstream(value_of(from.upstream));
    to[i].setKind(sighting_kinds[static_cast<std::size_t>(from.kind)]);
    to[i].setAgeMs(static_cast<std::uint32_t>(from.age.count()));
    to[i].setOpenMs(static_cast<std::uint32_t>(from.open_time.count()));
  }
}

// Leaves out kinds of later versions.
std::vector<upstream_sighting> read(
    capnp::List<wire::UpstreamSighting>::Reader from) {
  std::vector<upstream_sighting> sightings;
  for (const auto entry : from) {
    const auto kind = std::find(sighting_kinds.begin(), sighting_kinds.end(),
                                entry.getKind());
    if (kind != sighting_kinds.end()) {
      sightings.push_back({upstream_key(entry.getUpstream()),
                           sighting_kind(kind - sighting_kinds.begin()),
                           milliseconds(entry.getAgeMs()),
                           milliseconds(entry.getOpenMs())});
    }
  }
  return sightings;
}

void write(const member_history& history, wire::MemberHistory::Builder to) {
  write(history.flows,
        to.initFlows(static_cast<unsigned>(history.flows.size())));
  to.setCoveredMs(static_cast<std::uint32_t>(history.covered.count()));
  write(history.sightings,
        to.initSightings(static_cast<unsigned>(history.sightings.size())));
}

member_history read(wire::MemberHistory::Reader from) {
  return {read(from.getFlows()), milliseconds(from.getCoveredMs()),
          read(from.getSightings())};
}

void write(const bulletin& body,
           wire::SpreadMessage::Kind::Bulletin::Builder to) {
  to.setReading(body.reading);
  to.setLeaving(body.leaving);
  to.setComplete(body.listing.complete);
  to.setAfterEra(value_of(body.listing.after.era));
  to.setAfter(body.listing.after.number);
  to.setShownEra(value_of(body.listing.at.era));
  to.setShownAt(body.listing.at.number);
  to.setBridgeEra(value_of(body.listing.bridge.era));
  to.setBridge(body.listing.bridge.number);
  to.setEraStart(body.listing.era_start.number);
  to.setAgeMs(static_cast<std::uint32_t>(body.age.count()));
  auto items = to.initItems(static_cast<unsigned>(body.listing.items.size()));
  for (unsigned i = 0; i < items.size(); ++i) {
    write(body.listing.items[i], items[i]);
  }
  if (body.history) {
    write(*body.history, to.initHistory());
  }
}

bulletin read(wire::SpreadMessage::Kind::Bulletin::Reader from) {
  bulletin body;
  body.reading = from.getReading();
  body.leaving = from.getLeaving();
  body.age = milliseconds(from.getAgeMs());
  body.listing.complete = from.getComplete();
  body.listing.after = {store_era(from.getAfterEra()), from.getAfter()};
  body.listing.at = {store_era(from.getShownEra()), from.getShownAt()};
  body.listing.bridge = {store_era(from.getBridgeEra()), from.getBridge()};
  body.listing.era_start = {body.listing.at.era, from.getEraStart()};
  for (const auto item : from.getItems()) {
    body.listing.items.push_back(read(item));
  }
  if (from.hasHistory()) {
    body.history = read(from.getHistory());
  }
  return body;
}

void write(const failure_report& report,
           wire::SpreadMessage::Kind::Builder to) {
  auto entries = to.initFailures(static_cast<unsigned>(report.entries.size()));
  for (unsigned i = 0; i < entries.size(); ++i) {
    const auto& [reporter, failures] = report.entries[i];
    entries[i].setReporter(value_of(reporter));
    entries[i].setUpstream(value_of(failures.upstream));
    entries[i].setCount(failures.count);
  }
}

failure_report read(capnp::List<wire::ReportedFailures>::Reader from) {
  failure_report report;
  for (const auto entry : from) {
    report.entries.push_back(
        {incarnation(entry.getReporter()),
         {upstream_key(entry.getUpstream()), entry.getCount()}});
  }
  return report;
}

}  // namespace

bytes encode(const spread_message& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::SpreadMessage>();
  root.setSender(message.sender);
  root.setRun(value_of(message.run));
  root.setEra(value_of(message.at.era));
  root.setAt(message.at.number);
  root.setLogicalTime(message.logical_time);
  if (const auto* body = std::get_if<bulletin>(&message.body)) {
    write(*body, root.getKind().initBulletin());
  } else if (const auto* report = std::get_if<failure_report>(&message.body)) {
    write(*report, root.getKind());
  } else if (const auto* flows =
                 std::get_if<flow_record_report>(&message.body)) {
    write(flows->records, root.getKind().initFlows(
                              static_cast<unsigned>(flows->records.size())));
  } else if (const auto* sightings =
                 std::get_if<sighting_report>(&message.body)) {
    write(sightings->entries,
          root.getKind().initSightings(
              static_cast<unsigned>(sightings->entries.size())));
  } else {
    root.getKind().setInquiry();
  }
  return detail::to_packed(builder);
}

std::optional<spread_message> decode_spread_message(bytes_view encoded) {
  return detail::read_packed<wire::SpreadMessage>(
      encoded, max_spread_message,
      [](wire::SpreadMessage::Reader root) -> std::optional<spread_message> {
        spread_message message;
        message.sender = read(root.getSender());
        message.run = incarnation(root.getRun());
        message.at = {store_era(root.getEra()), root.getAt()};
        message.logical_time = root.getLogicalTime();
        switch (root.getKind().which()) {
          case wire::SpreadMessage::Kind::BULLETIN:
            message.body = read(root.getKind().getBulletin());
            return message;
          case wire::SpreadMessage::Kind::INQUIRY:
            message.body = inquiry{};
            return message;
          case wire::SpreadMessage::Kind::FAILURES:
            message.body = read(root.getKind().getFailures());
            return message;
          case wire::SpreadMessage::Kind::FLOWS:
            message.body = flow_record_report{read(root.getKind().getFlows())};
            return message;
          case wire::SpreadMessage::Kind::SIGHTINGS:
            message.body = sighting_report{read(root.getKind().getSightings())};
            return message;
        }
        return std::nullopt;
      });
}

}  // namespace rosemarydrum
