#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "command/fleet_client.h"

namespace rosemarydrum::test {

/// Fleet whose balancers return preset answers; others are unreachable.
class fake_fleet : public fleet_client {
 public:
  std::map<balancer_id, fleet_status> states;
  std::map<balancer_id, std::vector<event_record>> logs;
  /// Runs before each round of status calls.
  std::function<void()> before_status = [] {};

  std::vector<fleet_answer<fleet_status>> status(
      std::span<const balancer_entry> balancers, milliseconds) override {
    before_status();
    return answers(balancers, states);
  }
  std::vector<fleet_answer<std::vector<event_record>>> events(
      std::span<const balancer_entry> balancers, milliseconds) override {
    return answers(balancers, logs);
  }

 private:
  template <typename T>
  static std::vector<fleet_answer<T>> answers(
      std::span<const balancer_entry> balancers,
      const std::map<balancer_id, T>& preset) {
    std::vector<fleet_answer<T>> all;
    for (const auto& each : balancers) {
      auto& answer = all.emplace_back();
      answer.from = each;
      if (const auto found = preset.find(each.id); found != preset.end()) {
        answer.value = found->second;
      } else {
        answer.problem = "connection refused";
      }
    }
    return all;
  }
};

}  // namespace rosemarydrum::test
