#include "queueing_model.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>

namespace rosemarydrum::bench {
namespace {

constexpr milliseconds tick_interval{10};
constexpr seconds window{1};
constexpr seconds cold_interval{5};
constexpr milliseconds down_time{200};
/// Ratio of a cold upstream's service times to those of a warm one.
constexpr int cold_slowness = 5;
constexpr int answers_per_slot = 4;

double quantile(std::vector<double>& values, double q) {
  if (values.empty()) {
    return 0;
  }
  const std::ptrdiff_t at =
      std::lround(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[at];
}

}  // namespace

queueing_model::queueing_model(model_settings settings, cold_cause cause)
    : settings_(settings),
      cause_(cause),
      random_(settings.seed),
      upstreams_(settings.upstreams) {}

duration queueing_model::exponential(duration mean) {
  std::exponential_distribution<double> spread(
      1 / static_cast<double>(mean.count()));
  return duration(static_cast<duration::rep>(spread(random_)) + 1);
}

void queueing_model::after(duration delay, std::function<void()> action) {
  events_.push({now_ + delay, next_event_++, std::move(action)});
}

bool queueing_model::measuring() const {
  return now_ >= start_ + settings_.warm_up;
}

model_figures queueing_model::run(assignment& chosen) {
  chosen_ = &chosen;
  arrive();
  std::function<void()> tick = [&] {
    chosen_->on_tick(*this);
    after(tick_interval, tick);
  };
  tick();
  std::function<void()> next_window = [&] {
    close_window();
    after(window, next_window);
  };
  next_window();
  if (cause_ != cold_cause::never) {
    after(cold_interval, [this] { make_cold(); });
  }
  const time_point end = start_ + settings_.warm_up + settings_.measured;
  while (events_.top().at <= end) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.action();
  }
  figures_.imbalance_median = quantile(imbalances_, 0.5);
  figures_.imbalance_p99 = quantile(imbalances_, 0.99);
  figures_.wait_p99_ms = quantile(waits_ms_, 0.99);
  figures_.cold_excess =
      times_cold_ > 0 ? static_cast<double>(excess_) / times_cold_ : 0;
  return figures_;
}

void queueing_model::arrive() {
  const double slots = settings_.upstreams * settings_.slots;
  const duration mean_gap(static_cast<duration::rep>(
      static_cast<double>(settings_.mean_service.count()) /
      (slots * settings_.load)));
  after(exponential(mean_gap), [this] {
    model_request request;
    request.id = ++next_request_;
    request.balancer = static_cast<int>(random_() % settings_.balancers);
    request.flow = random_() % settings_.flows;
    request.arrived = now_;
    chosen_->on_request(request, *this);
    arrive();
  });
}

void queueing_model::change_in_flight(int upstream, int change) {
  model_upstream& state = upstreams_[upstream];
  state.integral += static_cast<double>((now_ - state.integrated).count()) *
                    static_cast<double>(state.in_flight);
  state.integrated = now_;
  state.in_flight += change;
  if (state.cold && change > 0 && !state.down && measuring()) {
    figures_.cold_load =
        std::max(figures_.cold_load,
                 static_cast<double>(state.in_flight) / state.cold_limit);
    excess_ += state.in_flight > state.cold_limit ? 1 : 0;
  }
}

void queueing_model::close_window() {
  double largest = 0;
  double sum = 0;
  for (int i = 0; i < settings_.upstreams; ++i) {
    change_in_flight(i, 0);
    largest = std::max(largest, upstreams_[i].integral);
    sum += upstreams_[i].integral;
    upstreams_[i].integral = 0;
  }
  if (sum > 0 && now_ >= start_ + settings_.warm_up + window) {
    imbalances_.push_back(largest * settings_.upstreams / sum);
  }
}

void queueing_model::send(model_request request, int upstream) {
  model_upstream& state = upstreams_[upstream];
  request.sent = now_;
  if (state.down) {
    reset(upstream, request);
    return;
  }
  change_in_flight(upstream, 1);
  if (static_cast<int>(state.running.size()) < settings_.slots) {
    start(upstream, request);
  } else {
    state.waiting.push_back(request);
  }
}

void queueing_model::start(int upstream, const model_request& request) {
  model_upstream& state = upstreams_[upstream];
  if (measuring()) {
    const std::chrono::duration<double, std::milli> wait =
        now_ - request.arrived;
    waits_ms_.push_back(wait.count());
  }
  state.running.push_back(request);
  const duration mean =
      settings_.mean_service * (state.cold ? cold_slowness : 1);
  after(exponential(mean), [this, upstream, run = state.run, request] {
    finish(upstream, run, request);
  });
}

void queueing_model::finish(int upstream, std::uint64_t run,
                            const model_request& request) {
  model_upstream& state = upstreams_[upstream];
  if (state.run != run || state.down) {
    return;
  }
  std::erase_if(state.running,
                [&](const auto& other) { return other.id == request.id; });
  change_in_flight(upstream, -1);
  if (state.cold && ++state.answers % answers_per_slot == 0) {
    state.cold = ++state.cold_limit < settings_.slots;
  }
  figures_.finished += measuring() ? 1 : 0;
  chosen_->on_result({request, upstream, run, false, now_ - request.sent},
                     *this);
  if (!state.waiting.empty()) {
    const model_request next = state.waiting.front();
    state.waiting.pop_front();
    start(upstream, next);
  }
}

void queueing_model::reset(int upstream, const model_request& request) {
  chosen_->on_result({request, upstream, 0, true, now_ - request.sent}, *this);
}

void queueing_model::make_cold() {
  const int upstream = static_cast<int>(random_() % settings_.upstreams);
  after(cold_interval, [this] { make_cold(); });
  if (cause_ == cold_cause::unannounced) {
    become_cold(upstream);
    return;
  }
  model_upstream& state = upstreams_[upstream];
  state.down = true;
  std::vector<model_request> lost(state.waiting.begin(), state.waiting.end());
  lost.insert(lost.end(), state.running.begin(), state.running.end());
  state.waiting.clear();
  state.running.clear();
  change_in_flight(upstream, -state.in_flight);
  for (const model_request& request : lost) {
    reset(upstream, request);
  }
  after(down_time, [this, upstream] {
    upstreams_[upstream].down = false;
    ++upstreams_[upstream].run;
    become_cold(upstream);
  });
}

void queueing_model::become_cold(int upstream) {
  model_upstream& state = upstreams_[upstream];
  times_cold_ += measuring() ? 1 : 0;
  state.cold = true;
  state.cold_limit = 1;
  state.answers = 0;
}

void print_figure(const std::string& name, double value, const char* unit,
                  double target) {
  std::printf("figure=%s value=%.4f unit=%s target=%g %s\n", name.c_str(),
              value, unit, target, value <= target ? "ok" : "short");
  std::fflush(stdout);
}

}  // namespace rosemarydrum::bench
