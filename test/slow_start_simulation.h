#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "rosemarydrum/forwarding/placement.h"

namespace rosemarydrum {

/// Members that place flows on the upstreams of one service without knowing of
/// each other, in steps of a millisecond. Half of the flows stay open for a
/// while after their answer.
class slow_start_simulation {
 public:
  static constexpr time_point start{seconds(100)};
  static constexpr std::uint32_t slots = 2;
  static constexpr std::uint64_t upstream_count = 40;
  static constexpr int member_count = 59;
  /// Sheds flows while this many wait, as the upstreams of most services do.
  static constexpr std::size_t usual_queue = 8;

  struct fake_upstream {
    duration work = milliseconds(30);
    std::size_t queue = usual_queue;
    std::uint32_t busy = 0;
    std::deque<std::function<void()>> waiting;
    std::size_t largest_excess = 0;
    int taken = 0;
    int shed = 0;
  };

  explicit slow_start_simulation(bool paced) : paced_(paced) {
    std::vector<std::string> names;
    names.reserve(member_count);
    for (int i = 0; i < member_count; ++i) {
      names.push_back("node-" + std::to_string(i));
    }
    for (const auto& name : names) {
      members.push_back(std::make_unique<placement>(
          placement_settings{
              .self = name, .data_centre = "north", .seed = members.size() + 1},
          directory));
      members.back()->set_members(names);
    }
    for (std::uint64_t key = 2; key <= upstream_count; ++key) {
      list(key, milliseconds(0));
    }
  }

  /// Writes the entry of an upstream that has just started.
  void list(std::uint64_t key, milliseconds cold) {
    record_ = revision(record_.number + 1);
    directory.apply({record_state::present,
                     {upstream_key(key),
                      "desk",
                      "north",
                      {static_cast<std::uint32_t>(key), 80},
                      slots,
                      false,
                      cold,
                      incarnation(record_.number)},
                     milliseconds(0)},
                    record_, now);
    for (auto& member : members) {
      if (paced_ || now == start) {
        member->on_record(*directory.find(upstream_key(key)), now);
      }
    }
  }

  /// Places `per_second` flows of all members for `time`.
  void run(double per_second, duration time) {
    std::bernoulli_distribution arrives(per_second / member_count / 1000);
    for (const auto end = now + time; now < end; now += milliseconds(1)) {
      while (!events_.empty() && events_.begin()->first <= now) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
      }
      for (auto& member : members) {
        member->restore_ejected(now, [](upstream_index) {});
        if (arrives(random_)) {
          place(*member);
        }
      }
    }
  }

  /// Returns how many flows each upstream took since the last call.
  std::vector<int> take_counts() {
    std::vector<int> counts;
    for (auto& each : upstreams) {
      counts.push_back(std::exchange(each.taken, 0));
    }
    return counts;
  }

  fake_upstream& at(std::uint64_t key) { return upstreams.at(key - 1); }

  upstream_directory directory;
  std::vector<std::unique_ptr<placement>> members;
  std::array<fake_upstream, upstream_count> upstreams;
  time_point now = start;
  int refused = 0;

 private:
  static constexpr milliseconds report_delay{20};
  static constexpr seconds idle_time{5};

  void place(placement& member) {
    const auto chosen = member.choose("desk", 0, std::nullopt, true, now);
    if (!chosen) {
      ++refused;
      return;
    }
    const auto index = chosen->upstream;
    member.on_placed(index, chosen->reason != placement_reason::least_loaded,
                     now);
    auto& upstream = at(value_of(directory.at(index).record.key));
    ++upstream.taken;
    const auto work = [this, &member, &upstream, index, placed = now] {
      ++upstream.busy;
      after(upstream.work, [=, this, &member, &upstream] {
        finish(member, upstream, index, placed);
      });
    };
    if (upstream.busy < slots) {
      work();
    } else if (upstream.waiting.size() < upstream.queue) {
      upstream.waiting.emplace_back(work);
      upstream.largest_excess =
          std::max(upstream.largest_excess, upstream.waiting.size());
    } else {
      ++upstream.shed;
      member.on_load(index, flow_load::active, flow_load::none);
      member.on_failures(index, 1, now);
      after(report_delay, [this, &member, index] { report(member, index); });
    }
  }

  void finish(placement& member, fake_upstream& upstream, upstream_index index,
              time_point placed) {
    --upstream.busy;
    member.on_whole_answer(index, now - placed, now);
    member.on_flow_time(index, now - placed, now);
    const bool stays_open = random_() % 2 == 0;
    member.on_load(index, flow_load::active,
                   stays_open ? flow_load::idle : flow_load::none);
    if (stays_open) {
      after(idle_time, [&member, index] {
        member.on_load(index, flow_load::idle, flow_load::none);
      });
    }
    if (!upstream.waiting.empty()) {
      const auto next = std::move(upstream.waiting.front());
      upstream.waiting.pop_front();
      next();
    }
  }

  void report(const placement& reporter, upstream_index index) {
    for (auto& member : members) {
      if (member.get() != &reporter) {
        member->on_failures(index, 1, now);
      }
    }
  }

  void after(duration time, std::function<void()> event) {
    events_.emplace(now + time, std::move(event));
  }

  bool paced_;
  revision record_{};
  std::multimap<time_point, std::function<void()>> events_;
  std::minstd_rand random_{7};
};

}  // namespace rosemarydrum
