#pragma once

#include <algorithm>
#include <random>

#include "rosemarydrum/configuration/config_codec.h"
#include "rosemarydrum/configuration/config_sync.h"

/// Simulates balancers that replicate the history of one store over a lossy
/// network.
namespace rosemarydrum::test {

/// A document with its revision as the owner, or a deleted one.
inline document make_document(std::uint32_t id, std::uint64_t changed,
                              bool deleted = false, std::size_t padding = 0) {
  service value;
  value.name = "s" + std::to_string(id);
  value.id = service_id(id);
  value.owner = std::to_string(changed);
  value.address = {0x0a000000U + id, 80};
  auto text = deleted ? std::string() : encode_document(value, {});
  text.append(deleted ? 0 : padding, ' ');
  return {service_key(value.name), std::move(text), revision(changed)};
}

/// The revision in force by service id.
using revisions_in_force = std::map<std::uint32_t, std::uint64_t>;

inline revisions_in_force find_revisions_in_force(
    const configuration& current) {
  revisions_in_force found;
  for (const auto& [id, value] : current.services) {
    found[value_of(id)] = std::stoull(value.owner);
  }
  return found;
}

struct store_history {
  std::vector<document> versions;

  std::uint64_t last() const { return versions.size(); }
  void write(std::uint32_t id, bool deleted, std::size_t padding = 0) {
    versions.push_back(make_document(id, last() + 1, deleted, padding));
  }
  /// The documents that changed after `after`, as listed by a store replica
  /// that has the first `seen` writes.
  std::vector<document> list(std::uint64_t seen, revision after) const {
    std::map<std::string, document> latest;
    for (std::uint64_t i = 0; i < seen; ++i) {
      latest.insert_or_assign(versions[i].key, versions[i]);
    }
    std::vector<document> listed;
    for (auto& [key, item] : latest) {
      if (item.changed > after) {
        listed.push_back(item);
      }
    }
    std::sort(listed.begin(), listed.end(), [](const auto& a, const auto& b) {
      return a.changed < b.changed;
    });
    return listed;
  }
  revisions_in_force expected() const {
    revisions_in_force found;
    for (const auto& item : versions) {
      const auto id =
          static_cast<std::uint32_t>(std::stoul(item.key.substr(9)));
      if (item.text.empty()) {
        found.erase(id);
      } else {
        found[id] = item.changed.number;
      }
    }
    return found;
  }
};

/// Runs in steps of 50 ms, with heartbeats every 300 ms; each reader polls the
/// store once a second.
class config_cluster {
 public:
  config_cluster(std::size_t size, std::uint64_t seed)
      : random_(seed), last_(size), running_(size) {
    for (std::size_t i = 0; i < size; ++i) {
      ids_.push_back(balancer_id(static_cast<std::uint32_t>(i)));
      restart(i);
    }
  }

  store_history store;
  bool store_down = false;
  bool store_stale = false;
  bool lossy = false;
  /// Number of balancers that read the store, and whether they push changes.
  std::size_t readers = 2;
  bool push = true;
  bool poll_together = false;
  /// Number of store calls, and bytes of messages and store answers so far.
  std::uint64_t calls = 0;
  std::uint64_t bytes = 0;

  std::size_t size() const { return ids_.size(); }
  config_sync& at(std::size_t i) { return *running_.at(i); }
  time_point now() const { return now_; }
  std::uint64_t random(std::uint64_t below) { return random_() % below; }

  void restart(std::size_t i) {
    running_.at(i) = std::make_unique<config_sync>(now_);
    last_.at(i).clear();
  }

  /// Returns false if a document's revision has decreased.
  bool step() {
    now_ += milliseconds(50);
    ++steps_;
    for (std::size_t i = 0; i < readers; ++i) {
      if (steps_ % 20 == (poll_together ? 0 : i * 20 / readers)) {
        poll(i);
      }
    }
    for (std::size_t i = 0; i < size(); ++i) {
      if (steps_ % 6 == i % 6) {
        send_heartbeats(i);
      }
      actions out;
      at(i).tick(now_, out);
      send(i, out);
    }
    deliver();
    return check();
  }

 private:
  struct message {
    balancer_id from{};
    balancer_id to{};
    /// Empty for a heartbeat, which has only the sender's revision.
    std::optional<peer_body> body;
    revision sender_revision{};
  };

  void poll(std::size_t i) {
    ++calls;
    if (store_down) {
      return;
    }
    const auto seen = store_stale ? random(store.last() + 1) : store.last();
    const auto listed = store.list(seen, at(i).current().highest);
    actions out;
    std::vector<balancer_id> others;
    std::copy_if(ids_.begin(), ids_.end(), std::back_inserter(others),
                 [&](balancer_id id) { return push && id != ids_[i]; });
    count(listed);
    at(i).on_documents(listed, true, others, now_, out);
    send(i, out);
  }

  // The overhead of a message is about 64 bytes, that of a document 32.
  void count(const std::vector<document>& documents) {
    bytes += 64;
    for (const auto& each : documents) {
      bytes += each.key.size() + each.text.size() + 32;
    }
  }

  void send_heartbeats(std::size_t i) {
    for (const auto to : ids_) {
      if (to != ids_[i]) {
        network_.push_back({ids_[i], to, {}, at(i).current().highest});
      }
    }
  }

  void send(std::size_t from, const actions& out) {
    for (const auto& item : out) {
      if (const auto* sent = std::get_if<send_to_peer>(&item)) {
        const auto* pushed = std::get_if<config_push>(&sent->body);
        count(pushed == nullptr ? std::vector<document>() : pushed->documents);
        network_.push_back({ids_[from], sent->to, sent->body, {}});
      }
    }
  }

  void deliver() {
    auto due = std::exchange(network_, {});
    std::shuffle(due.begin(), due.end(), random_);
    for (auto& item : due) {
      const auto outcome = lossy ? random(10) : 9;
      if (outcome < 3) {
        network_.push_back(item);  // delayed
      }
      if (outcome == 3) {
        network_.push_back(item);  // duplicated
      }
      if (outcome < 3 || outcome == 4) {
        continue;  // 4: lost
      }
      actions out;
      auto& to = at(value_of(item.to));
      if (!item.body) {
        to.on_peer_revision(item.from, item.sender_revision, now_, out);
      } else if (const auto* pushed = std::get_if<config_push>(&*item.body)) {
        to.on_documents(pushed->documents, false, {}, now_, out);
      } else if (const auto* pull = std::get_if<config_pull>(&*item.body)) {
        to.on_pull(item.from, *pull, out);
      }
      send(value_of(item.to), out);
    }
  }

  bool check() {
    for (std::size_t i = 0; i < size(); ++i) {
      const auto found = find_revisions_in_force(at(i).current());
      for (auto& [id, last] : last_[i]) {
        if (!found.contains(id)) {
          // A document may only disappear by a deletion after the last version
          // in force.
          const auto key = service_key("s" + std::to_string(id));
          const auto deleted =
              std::find_if(store.versions.begin(), store.versions.end(),
                           [&, seen = last](const document& item) {
                             return item.key == key && item.text.empty() &&
                                    item.changed.number >= seen;
                           });
          if (deleted == store.versions.end()) {
            return false;
          }
          last = deleted->changed.number;
        }
      }
      for (const auto& [id, changed] : found) {
        auto& last = last_[i][id];
        if (changed < last) {
          return false;
        }
        last = changed;
      }
    }
    return true;
  }

  std::mt19937_64 random_;
  time_point now_{seconds(100)};
  std::uint64_t steps_ = 0;
  std::vector<balancer_id> ids_;
  std::vector<revisions_in_force> last_;
  std::vector<std::unique_ptr<config_sync>> running_;
  std::vector<message> network_;
};

}  // namespace rosemarydrum::test
