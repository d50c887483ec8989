#pragma once

#include <algorithm>
#include <memory>
#include <vector>

#include "capacity_documents.h"
#include "capacity_slope.h"
#include "rosemarydrum/balancer/balancer.h"

namespace rosemarydrum::bench {

inline balancer_settings settings_of(std::uint32_t id) {
  return {.self = {balancer_id(id), incarnation(100 + id)},
          .data_centre = home,
          .token_secret = bytes(16, 1),
          .bootstrap = {}};
}

/// Fault of one member of a cell.
enum class fault {
  none,
  /// It neither runs nor answers.
  silent,
  /// Messages to it are lost.
  deaf,
  /// Messages from it are lost.
  mute,
};

/// A cell of balancers in virtual time. Messages between them are encoded,
/// decoded and arrive 10 ms later.
class cell {
 public:
  cell(std::uint32_t members, std::uint32_t services) : members_(members) {
    const auto documents = make_documents(members, services);
    for (std::uint32_t id = 1; id <= members; ++id) {
      nodes_.push_back(std::make_unique<balancer>(settings_of(id), now_));
      nodes_.back()->on_store_documents(documents, now_, out_);
      out_.clear();
    }
    advance(seconds(5));
  }

  void advance(duration time) {
    for (const auto end = now_ + time; now_ < end;) {
      now_ += milliseconds(10);
      auto arrived = std::move(sent_);
      sent_.clear();
      for (const auto& [to, from, encoded] : arrived) {
        if (is_lost(from, to)) {
          continue;
        }
        const auto message = decode_peer_message(encoded);
        nodes_[to - 1]->on_peer(balancer_address(from), *message, now_, out_);
        send(to);
      }
      for (std::uint32_t id = 1; id <= members_; ++id) {
        if (id == faulty_ && fault_ == fault::silent) {
          continue;
        }
        nodes_[id - 1]->tick(now_, out_);
        send(id);
      }
    }
  }

  /// Delivers `changed` to the first balancer as a document read from the
  /// store.
  void deliver_document(const document& changed) {
    nodes_.front()->on_store_documents({&changed, 1}, now_, out_);
    send(1);
  }
  /// Restarts the last balancer with a new run that knows only the addresses of
  /// the others.
  void restart_last() {
    auto settings = settings_of(members_);
    settings.self.run = incarnation(value_of(settings.self.run) + 1'000);
    for (std::uint32_t id = 1; id < members_; ++id) {
      settings.bootstrap.push_back({balancer_id(id), balancer_address(id)});
    }
    nodes_.back() = std::make_unique<balancer>(settings, now_);
  }
  /// Whether the last balancer is ready with this revision.
  bool last_is_ready(revision expected) const {
    const auto status = nodes_.back()->status(now_);
    return status.ready && status.configuration == expected;
  }
  /// Whether all members have the revision and one decider for each shard.
  bool is_settled(revision expected) const {
    std::size_t decided = 0;
    for (const auto& node : nodes_) {
      const auto status = node->status(now_);
      decided += status.decided.size();
      if (!status.ready || status.configuration != expected ||
          status.live.size() != members_) {
        return false;
      }
    }
    return decided == shard_count;
  }

  /// Applies the fault to the first member that decides a shard.
  void set_fault(fault kind) {
    fault_ = kind;
    for (faulty_ = 1; nodes_[faulty_ - 1]->status(now_).decided.empty();) {
      ++faulty_;
    }
  }
  /// Whether another member still counts the faulty one as live.
  bool is_faulty_live() const {
    return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return node != nodes_[faulty_ - 1] &&
             node->status(now_).live.size() == members_;
    });
  }
  /// Shards that the other members decide.
  std::size_t decided_by_others() const {
    std::size_t decided = 0;
    for (const auto& node : nodes_) {
      if (node != nodes_[faulty_ - 1]) {
        decided += node->status(now_).decided.size();
      }
    }
    return decided;
  }

  /// Encoded bytes of all heartbeats, and of pushes and pulls.
  double heartbeat_bytes = 0;
  double configuration_bytes = 0;

 private:
  struct datagram {
    std::uint32_t to;
    std::uint32_t from;
    bytes encoded;
  };

  bool is_lost(std::uint32_t from, std::uint32_t to) const {
    const bool to_faulty = to == faulty_;
    const bool from_faulty = from == faulty_;
    switch (fault_) {
      case fault::none:
        return false;
      case fault::silent:
        return to_faulty || from_faulty;
      case fault::deaf:
        return to_faulty;
      case fault::mute:
        return from_faulty;
    }
    return false;
  }

  void send(std::uint32_t from) {
    for (const auto& next : out_.to_peers) {
      auto encoded = encode(next.message);
      const auto size = static_cast<double>(encoded.size());
      if (std::holds_alternative<heartbeat>(next.message.body)) {
        heartbeat_bytes += size;
      } else if (std::holds_alternative<config_push>(next.message.body) ||
                 std::holds_alternative<config_pull>(next.message.body)) {
        configuration_bytes += size;
      }
      sent_.push_back({value_of(next.to), from, std::move(encoded)});
    }
    out_.clear();
  }

  std::uint32_t members_;
  std::uint32_t faulty_ = 0;
  fault fault_ = fault::none;
  time_point now_{seconds(1000)};
  std::vector<std::unique_ptr<balancer>> nodes_;
  std::vector<datagram> sent_;
  balancer_output out_;
};

}  // namespace rosemarydrum::bench
