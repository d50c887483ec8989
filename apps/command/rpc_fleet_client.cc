#include "command/rpc_fleet_client.h"

#include <arpa/inet.h>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <netinet/in.h>

#include <algorithm>
#include <utility>

#include "peer_rpc.capnp.h"
#include "rosemarydrum/balancer/peer_message.h"

namespace rosemarydrum {
namespace {

/// Limit of concurrent connections.
constexpr std::size_t max_connections = 64;
/// Limit of events read from one balancer: its ring of 65,536 events, and those
/// recorded during the query.
constexpr std::size_t max_events = 131'072;

capnp::ReaderOptions reader_options() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = 2 * max_peer_message / sizeof(capnp::word);
  options.nestingLimit = 16;
  return options;
}

struct connection {
  explicit connection(kj::Own<kj::AsyncIoStream> connected)
      : stream(kj::mv(connected)),
        network(*stream, capnp::rpc::twoparty::Side::CLIENT, reader_options()),
        rpc(capnp::makeRpcClient(network)),
        peer(bootstrap(rpc)) {}

  static wire::Peer::Client bootstrap(
      capnp::RpcSystem<capnp::rpc::twoparty::VatId>& rpc) {
    capnp::MallocMessageBuilder builder;
    auto id = builder.initRoot<capnp::rpc::twoparty::VatId>();
    id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(id).castAs<wire::Peer>();
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  wire::Peer::Client peer;
};

fleet_status read_status(wire::Status::Reader from) {
  fleet_status read;
  read.self = {balancer_id(from.getId()), incarnation(from.getRun())};
  read.data_centre = data_centre_id(from.getDataCentre());
  read.state.ready = from.getReady();
  read.state.leaving = from.getLeaving();
  read.state.configuration = revision(from.getConfiguration());
  read.state.unfinished_requests = from.getUnfinishedRequests();
  read.state.flows = from.getFlows();
  for (const auto shard : from.getDecided()) {
    read.state.decided.push_back(shard_id(shard));
  }
  for (const auto id : from.getLive()) {
    read.state.live.push_back(balancer_id(id));
  }
  return read;
}

kj::Promise<void> query_peer(connection& to, fleet_status& into) {
  return to.peer.statusRequest().send().then(
      [&into](capnp::Response<wire::Peer::StatusResults>&& answer) {
        into = read_status(answer.getStatus());
      });
}

kj::Promise<void> query_peer(connection& to, std::vector<event_record>& into) {
  auto call = to.peer.eventsRequest();
  call.setFirst(into.empty() ? 0 : into.back().sequence + 1);
  return call.send().then([&to,
                           &into](capnp::Response<wire::Peer::EventsResults>&&
                                      answer) -> kj::Promise<void> {
    const auto encoded = answer.getPage();
    const auto message = decode_peer_message({encoded.begin(), encoded.size()});
    const auto* page =
        message ? std::get_if<events_page>(&message->body) : nullptr;
    if (page == nullptr) {
      return KJ_EXCEPTION(FAILED, "malformed page of events");
    }
    const auto last = into.empty() ? 0 : into.back().sequence;
    if (page->events.empty() || into.size() >= max_events ||
        page->events.back().sequence <= last) {
      return kj::READY_NOW;
    }
    into.insert(into.end(), page->events.begin(), page->events.end());
    return query_peer(to, into);
  });
}

/// Queries one balancer; on failure, the answer holds the problem.
template <typename T>
kj::Promise<void> query_balancer(kj::AsyncIoContext& io, milliseconds timeout,
                                 fleet_answer<T>& answer) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(answer.from.address.address);
  address.sin_port =
      htons(static_cast<std::uint16_t>(answer.from.address.port + 1));
  auto target =
      io.provider->getNetwork().getSockaddr(&address, sizeof(address));
  auto connected = target->connect().attach(kj::mv(target));
  auto queried = connected.then([&answer](kj::Own<kj::AsyncIoStream>&& stream) {
    auto opened = kj::heap<connection>(kj::mv(stream));
    auto& to = *opened;
    return query_peer(to, answer.value.emplace()).attach(kj::mv(opened));
  });
  return io.provider->getTimer()
      .timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(queried))
      .then([] {},
            [&answer](kj::Exception&& failed) {
              answer.value.reset();
              answer.problem = failed.getDescription().cStr();
            });
}

template <typename T>
std::vector<fleet_answer<T>> query_balancers(
    std::span<const balancer_entry> balancers, milliseconds timeout) {
  std::vector<fleet_answer<T>> answers(balancers.size());
  for (std::size_t i = 0; i < balancers.size(); ++i) {
    answers[i].from = balancers[i];
  }
  auto io = kj::setupAsyncIo();
  for (std::size_t begin = 0; begin < answers.size();
       begin += max_connections) {
    const auto end = std::min(begin + max_connections, answers.size());
    kj::Vector<kj::Promise<void>> calls;
    for (auto i = begin; i < end; ++i) {
      calls.add(query_balancer(io, timeout, answers[i]));
    }
    kj::joinPromises(calls.releaseAsArray()).wait(io.waitScope);
  }
  return answers;
}

}  // namespace

std::vector<fleet_answer<fleet_status>> rpc_fleet_client::status(
    std::span<const balancer_entry> balancers, milliseconds timeout) {
  return query_balancers<fleet_status>(balancers, timeout);
}

std::vector<fleet_answer<std::vector<event_record>>> rpc_fleet_client::events(
    std::span<const balancer_entry> balancers, milliseconds timeout) {
  return query_balancers<std::vector<event_record>>(balancers, timeout);
}

}  // namespace rosemarydrum
