#include <algorithm>

#include "daemon/data_thread.h"
#include "io/addresses.h"

/// The data thread's output: datagrams, large peer messages, events, metrics.
namespace rosemarydrum {
namespace {

// A peer admits up to 3,000 new flows a second, and sends a decider at most one
// ask and one release for each.
constexpr double peer_messages_per_second = 20'000;
constexpr double peer_message_burst = 4'000;

}  // namespace

void data_thread::flush() {
  for (const auto& to : out_.to_peers) {
    send_peer(to);
  }
  for (const auto& to : out_.to_upstreams) {
    send(to.address, encode(to.datagram));
  }
  for (const auto& [envelope, datagram] : out_.to_callers) {
    if (!fabric_.empty()) {
      const auto index =
          detail::mix(envelope.caller.port, envelope.caller.address) %
          fabric_.size();
      send(fabric_[index], encode(envelope, encode(datagram)));
    }
  }
  for (const auto& event : out_.events) {
    rings_.data_to_metrics.push(event);
  }
  out_.clear();
  if (peers_revision_ != core_.current_configuration().highest) {
    update_peers();
  }
}

void data_thread::send_peer(const peer_datagram& to) {
  auto encoded = encode(to.message);
  if (encoded.empty()) {
    ++metrics_[counter::message_too_large];
  } else if (encoded.size() <= max_peer_datagram) {
    send(to.address, encoded);
  } else {
    rings_.data_to_rpc.push(large_message{to.to, std::move(encoded)});
  }
}

void data_thread::send(const endpoint& to, const bytes& datagram) {
  boost::system::error_code error;
  socket_.send_to(boost::asio::buffer(datagram), to_udp(to), 0, error);
  if (error) {
    ++metrics_[counter::send_failed];
  }
}

void data_thread::update_peers() {
  peers_revision_ = core_.current_configuration().highest;
  auto previous = std::move(peers_);
  peers_.clear();
  addresses_.all.clear();
  auto add = [&](const balancer_entry& entry) {
    if (entry.id != settings_.self.id && !addresses_.all.contains(entry.id)) {
      const auto known = previous.find(entry.address);
      peers_.insert_or_assign(
          entry.address,
          known != previous.end() && known->second.id == entry.id
              ? known->second
              : peer_state{entry.id,
                           {peer_messages_per_second, peer_message_burst}});
      addresses_.all.emplace(entry.id, entry.address);
    }
  };
  for (const auto& [_, centre] : core_.current_configuration().data_centres) {
    std::for_each(centre.balancers.begin(), centre.balancers.end(), add);
  }
  std::for_each(settings_.bootstrap.begin(), settings_.bootstrap.end(), add);
  send_addresses();
}

void data_thread::send_addresses() {
  // If the ring is full, the next tick tries again.
  addresses_sent_ = rings_.data_to_rpc.push(addresses_);
}

void data_thread::publish() {
  const auto status = core_.status(runtime_clock::now());
  metrics_.ready = status.ready;
  metrics_.leaving = status.leaving;
  metrics_.configuration = status.configuration.number;
  metrics_.unfinished_requests = status.unfinished_requests;
  metrics_.flows = status.flows;
  metrics_.live_peers = status.live.size();
  metrics_.decided_shards = status.decided.size();
  rings_.data_to_metrics.push(metrics_);
}

}  // namespace rosemarydrum
