#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "datagram_socket.h"
#include "health_probe.h"
#include "link_faults.h"

namespace rosemarydrum::standins {

/// Stand-in for the platform's fabric: receives callers' datagrams on the
/// service addresses, wraps each in an envelope and sends it to any healthy
/// balancer.
class fabric_node {
 public:
  fabric_node(boost::asio::io_context& context, const endpoint& listen,
              std::uint64_t seed)
      : context_(context),
        random_(seed),
        balancer_socket_(context, listen,
                         [this](const endpoint& from, bytes_view datagram) {
                           from_balancer(from, datagram);
                         }) {}

  /// The fabric address that balancers send to and receive from.
  endpoint local() const { return balancer_socket_.local(); }

  /// Opens a service address; returns it with its port. Balancers see
  /// `advertised` if it is given, as when several nodes serve one address.
  endpoint add_service(const endpoint& listen,
                       const std::optional<endpoint>& advertised) {
    auto& added = services_.emplace_back();
    added.socket = std::make_unique<datagram_socket>(
        context_, listen,
        [this, &added](const endpoint& caller, bytes_view datagram) {
          from_caller(added.address, caller, datagram);
        });
    added.address = advertised.value_or(added.socket->local());
    return added.socket->local();
  }

  void add_balancer(const endpoint& data, const endpoint& metrics) {
    balancers_[data].probe = std::make_unique<health_probe>(context_, metrics);
  }

  /// Sets the loss and delay of all links.
  void set_faults(const link_faults& faults) { faults_ = faults; }
  /// Cuts or restores the link to one balancer.
  void set_cut(const endpoint& data, bool cut) {
    if (const auto found = balancers_.find(data); found != balancers_.end()) {
      found->second.cut = cut;
    }
  }

  std::size_t healthy() const { return candidates().size(); }

 private:
  struct service_port {
    endpoint address;
    std::unique_ptr<datagram_socket> socket;
  };
  struct balancer_port {
    std::unique_ptr<health_probe> probe;
    bool cut = false;
  };

  std::vector<endpoint> candidates() const {
    std::vector<endpoint> all;
    for (const auto& [address, port] : balancers_) {
      if (port.probe->healthy()) {
        all.push_back(address);
      }
    }
    return all;
  }

  void from_caller(const endpoint& service, const endpoint& caller,
                   bytes_view datagram) {
    const auto targets = candidates();
    if (targets.empty() || faults_.loses(random_)) {
      return;
    }
    const auto& target = targets[random_() % targets.size()];
    if (balancers_.at(target).cut) {
      return;
    }
    later([this, target, wrapped = encode({caller, service}, datagram)] {
      balancer_socket_.send(target, wrapped);
    });
  }

  void from_balancer(const endpoint& from, bytes_view datagram) {
    const auto known = balancers_.find(from);
    const auto unwrapped = decode_envelope(datagram);
    if (known == balancers_.end() || known->second.cut || !unwrapped ||
        faults_.loses(random_)) {
      return;
    }
    for (const auto& each : services_) {
      if (each.address == unwrapped->envelope.service) {
        const auto& inner = unwrapped->inner;
        later([&each, to = unwrapped->envelope.caller,
               copy = bytes(inner.begin(), inner.end())] {
          each.socket->send(to, copy);
        });
        return;
      }
    }
  }

  template <typename Function>
  void later(Function run) {
    if (faults_.delay_ms == 0) {
      run();
      return;
    }
    using timer = boost::asio::basic_waitable_timer<runtime_clock>;
    auto waiting =
        std::make_shared<timer>(context_, milliseconds(faults_.delay_ms));
    waiting->async_wait([waiting, run](const boost::system::error_code& error) {
      if (!error) {
        run();
      }
    });
  }

  boost::asio::io_context& context_;
  std::mt19937_64 random_;
  link_faults faults_;
  datagram_socket balancer_socket_;
  std::list<service_port> services_;
  std::map<endpoint, balancer_port> balancers_;
};

}  // namespace rosemarydrum::standins
