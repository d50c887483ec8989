#include "assignments.h"

namespace rosemarydrum::bench {
namespace {

class hash_assignment : public assignment {
 public:
  void on_request(const model_request& request,
                  queueing_model& model) override {
    model.send(request, static_cast<int>(detail::mix(7, request.flow) %
                                         model.settings().upstreams));
  }
  void on_result(const model_result& /*result*/,
                 queueing_model& /*model*/) override {}
  void on_tick(queueing_model& /*model*/) override {}
};

class random_assignment : public hash_assignment {
 public:
  void on_request(const model_request& request,
                  queueing_model& model) override {
    model.send(request,
               static_cast<int>(model.random()() % model.settings().upstreams));
  }
};

class two_choices_assignment : public assignment {
 public:
  explicit two_choices_assignment(duration age) : age_(age) {}

  void on_request(const model_request& request,
                  queueing_model& model) override {
    const int count = model.settings().upstreams;
    const int first = static_cast<int>(model.random()() % count);
    const int other = static_cast<int>(model.random()() % (count - 1));
    const int second = other < first ? other : other + 1;
    auto& loads = loads_of(request.balancer, model);
    const int chosen = loads[second] < loads[first] ? second : first;
    ++loads[chosen];
    model.send(request, chosen);
  }
  void on_result(const model_result& result, queueing_model& model) override {
    // The report includes the requests in flight at that time, so their end
    // is subtracted as well.
    --loads_of(result.request.balancer, model)[result.upstream];
  }
  void on_tick(queueing_model& model) override {
    if (model.now() < reported_ + age_) {
      return;
    }
    reported_ = model.now();
    for (int balancer = 0; balancer < model.settings().balancers; ++balancer) {
      auto& loads = loads_of(balancer, model);
      for (int i = 0; i < model.settings().upstreams; ++i) {
        loads[i] = model.in_flight(i);
      }
    }
  }

 private:
  std::vector<int>& loads_of(int balancer, queueing_model& model) {
    loads_.resize(model.settings().balancers);
    loads_[balancer].resize(model.settings().upstreams);
    return loads_[balancer];
  }

  duration age_;
  time_point reported_;
  std::vector<std::vector<int>> loads_;
};

}  // namespace

std::unique_ptr<assignment> assign_by_hash() {
  return std::make_unique<hash_assignment>();
}
std::unique_ptr<assignment> assign_at_random() {
  return std::make_unique<random_assignment>();
}
std::unique_ptr<assignment> assign_by_two_choices(duration age) {
  return std::make_unique<two_choices_assignment>(age);
}

}  // namespace rosemarydrum::bench
