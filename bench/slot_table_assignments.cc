#include <map>

#include "assignments.h"
#include "rosemarydrum/slots/slot_table.h"

namespace rosemarydrum::bench {
namespace {

constexpr data_centre_id centre{1};
constexpr service_id the_service{1};
constexpr milliseconds ask_interval{100};
constexpr milliseconds time_to_start{1000};

configuration one_service(const model_settings& settings) {
  configuration current;
  current.data_centres[centre].id = centre;
  service& only = current.services[the_service];
  only.id = the_service;
  only.upstreams.reserve(settings.upstreams);
  for (int i = 0; i < settings.upstreams; ++i) {
    upstream entry;
    entry.id = upstream_id(i + 1);
    entry.data_centre = centre;
    entry.slots = static_cast<std::uint16_t>(settings.slots);
    only.upstreams.push_back(entry);
  }
  return current;
}

/// Requests slots from one slot table for all balancers, or one per balancer.
class slot_table_assignment : public assignment {
 public:
  slot_table_assignment(const model_settings& settings, slot_authority mode,
                        bool ramp)
      : mode_(mode), ramp_(ramp) {
    std::vector<balancer_id> members;
    members.reserve(settings.balancers);
    for (int i = 0; i < settings.balancers; ++i) {
      members.push_back(balancer_id(i + 1));
    }
    const int count = mode == slot_authority::sole ? 1 : settings.balancers;
    for (int i = 0; i < count; ++i) {
      slot_table_settings own;
      own.self = {members[i], incarnation(i + 1)};
      own.data_centre = centre;
      auto& table = tables_.emplace_back(std::make_unique<slot_table>(own));
      table->set_members(members);
      actions out;
      table->set_configuration(one_service(settings), {}, out);
      table->tick(time_point(seconds(10)), out);
      assume_warm(*table);
      table->set_authority(shard_of(the_service), mode, {}, true,
                           time_point(seconds(10)), out);
    }
  }

  void on_request(const model_request& request,
                  queueing_model& model) override {
    waiting_[request.id] = {request, model.now()};
    ask(request, model);
  }

  void on_result(const model_result& result, queueing_model& model) override {
    slot_release release;
    release.grant = grants_.at(result.request.id);
    grants_.erase(result.request.id);
    release.service = the_service;
    release.upstream = upstream_id(result.upstream + 1);
    if (ramp_) {
      release.outcome =
          result.reset ? attempt_outcome::reset : attempt_outcome::answered;
      release.upstream_run = incarnation(result.run);
      release.latency_us = static_cast<std::uint32_t>(result.latency.count());
    } else {
      release.outcome = attempt_outcome::unused;
    }
    const int balancer = result.request.balancer;
    model.after(delay(model), [this, release, balancer, &model] {
      actions out;
      table_of(balancer).on_release(run_of(balancer), release, model.now(),
                                    out);
      deliver_answers(out, model);
    });
    if (result.reset) {
      // Retries as a new request, with an id that no other request has.
      model_request retry = result.request;
      retry.id += std::uint64_t{1} << 40;
      on_request(retry, model);
    }
  }

  void on_tick(queueing_model& model) override {
    for (auto& table : tables_) {
      actions out;
      table->tick(model.now(), out);
      deliver_answers(out, model);
      if (mode_ == slot_authority::share) {
        // Only a decider warms upstreams. The model does not cover upstreams
        // wrongly assumed cold, a state that lasts until there is a decider.
        assume_warm(*table);
      }
    }
    const auto expired = std::erase_if(waiting_, [&model](const auto& entry) {
      return model.now() - entry.second.request.arrived >= time_to_start;
    });
    model.count_refused(expired);
    for (auto& [id, waiting] : waiting_) {
      if (model.now() - waiting.asked >= ask_interval) {
        waiting.asked = model.now();
        ask(waiting.request, model);
      }
    }
  }

 private:
  struct waiting_request {
    model_request request;
    time_point asked;
  };

  static void assume_warm(slot_table& table) {
    const shard_id held[] = {shard_of(the_service)};
    table.on_limits({}, held);
  }
  slot_table& table_of(int balancer) {
    return *tables_[tables_.size() == 1 ? 0 : balancer];
  }
  static balancer_run run_of(int balancer) {
    return {balancer_id(balancer + 1), incarnation(balancer + 1)};
  }
  duration delay(const queueing_model& model) const {
    return mode_ == slot_authority::sole ? model.settings().peer_delay
                                         : duration::zero();
  }

  void ask(const model_request& request, queueing_model& model) {
    model.after(delay(model), [this, request, &model] {
      slot_ask wanted;
      wanted.ask = request.id;
      wanted.service = the_service;
      const auto left = std::chrono::floor<milliseconds>(
          request.arrived + time_to_start - model.now());
      wanted.time_left_ms = left.count() > 0 ? left.count() : 0;
      wanted.data_centre = centre;
      actions out;
      table_of(request.balancer)
          .on_ask(run_of(request.balancer), wanted, model.now(), out);
      deliver_answers(out, model);
    });
  }

  void deliver_answers(const actions& out, queueing_model& model) {
    for (const action& next : out) {
      const auto* message = std::get_if<send_to_peer>(&next);
      if (!message) {
        continue;
      }
      const auto answer = std::get<slot_answer>(message->body);
      const int balancer = static_cast<int>(value_of(message->to)) - 1;
      model.after(delay(model), [this, answer, balancer, &model] {
        on_answer(answer, balancer, model);
      });
    }
  }

  void on_answer(const slot_answer& answer, int balancer,
                 queueing_model& model) {
    const auto found = waiting_.find(answer.ask);
    if (found == waiting_.end()) {
      release_late_grant(answer, balancer, model);
      return;
    }
    const model_request request = found->second.request;
    waiting_.erase(found);
    if (answer.error != error_kind::none) {
      model.count_refused(1);
      return;
    }
    grants_[request.id] = answer.grant;
    model.send(request, static_cast<int>(value_of(answer.upstream)) - 1);
  }

  /// Releases a grant that arrived after its request was given up.
  void release_late_grant(const slot_answer& answer, int balancer,
                          queueing_model& model) {
    if (answer.error != error_kind::none || grants_.contains(answer.ask)) {
      return;
    }
    slot_release release;
    release.grant = answer.grant;
    release.service = the_service;
    release.upstream = answer.upstream;
    release.outcome = attempt_outcome::unused;
    actions out;
    table_of(balancer).on_release(run_of(balancer), release, model.now(), out);
    deliver_answers(out, model);
  }

  slot_authority mode_;
  bool ramp_;
  std::vector<std::unique_ptr<slot_table>> tables_;
  std::map<std::uint64_t, waiting_request> waiting_;
  std::map<std::uint64_t, grant_id> grants_;
};

}  // namespace

std::unique_ptr<assignment> assign_by_decider(const model_settings& settings,
                                              bool ramp) {
  return std::make_unique<slot_table_assignment>(settings, slot_authority::sole,
                                                 ramp);
}
std::unique_ptr<assignment> assign_by_shares(const model_settings& settings) {
  return std::make_unique<slot_table_assignment>(settings,
                                                 slot_authority::share, true);
}

}  // namespace rosemarydrum::bench
