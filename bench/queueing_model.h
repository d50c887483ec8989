#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "rosemarydrum/types.h"

/// A queueing simulation of balancers and upstreams in virtual time.
namespace rosemarydrum::bench {

struct model_settings {
  int upstreams = 14;
  int slots = 3;
  int balancers = 8;
  /// Number of callers' flows. Only the hashing assignment depends on it.
  int flows = 2000;
  duration mean_service = milliseconds(20);
  double load = 0.7;
  /// One-way delay of messages between two balancers.
  duration peer_delay = microseconds(100);
  seconds warm_up{5};
  seconds measured{400};
  std::uint64_t seed = 1;
};

struct model_request {
  std::uint64_t id = 0;
  int balancer = 0;
  std::uint64_t flow = 0;
  time_point arrived;
  time_point sent;
};

/// How an attempt at an upstream ended, as its balancer sees it.
struct model_result {
  model_request request;
  int upstream = 0;
  /// Number of the upstream's run: increases by 1 with each restart.
  std::uint64_t run = 1;
  bool reset = false;
  duration latency{};
};

class queueing_model;

/// Chooses the upstream of each request.
class assignment {
 public:
  virtual ~assignment() = default;
  virtual void on_request(const model_request& request,
                          queueing_model& model) = 0;
  virtual void on_result(const model_result& result, queueing_model& model) = 0;
  /// Called every 10 ms.
  virtual void on_tick(queueing_model& model) = 0;
};

/// Results of one simulation run.
struct model_figures {
  double imbalance_median = 0;
  double imbalance_p99 = 0;
  double wait_p99_ms = 0;
  /// Largest ratio of a cold upstream's in-flight count to its limit.
  double cold_load = 0;
  /// Requests above the limit of a cold upstream, averaged over cold periods.
  double cold_excess = 0;
  std::uint64_t finished = 0;
  /// Requests given up before they were sent.
  std::uint64_t refused = 0;
};

/// How upstreams become cold in a run.
enum class cold_cause : std::uint8_t {
  never,
  /// Down for 200 ms; the requests that were running are reset.
  restart,
  /// No request is reset and the run number stays, as after a lost cache.
  unannounced,
};

class queueing_model {
 public:
  queueing_model(model_settings settings, cold_cause cause);

  model_figures run(assignment& chosen);

  /// Sends a request to an upstream without delay.
  void send(model_request request, int upstream);
  /// Schedules `action` for `delay` of virtual time from now.
  void after(duration delay, std::function<void()> action);

  /// Counts requests that were given up before they were sent.
  void count_refused(std::uint64_t count) {
    figures_.refused += measuring() ? count : 0;
  }

  time_point now() const { return now_; }
  const model_settings& settings() const { return settings_; }
  int in_flight(int upstream) const { return upstreams_[upstream].in_flight; }
  std::mt19937_64& random() { return random_; }

 private:
  struct model_upstream {
    std::deque<model_request> waiting;
    std::vector<model_request> running;
    std::uint64_t run = 1;
    bool down = false;
    bool cold = false;
    /// Limit of in-flight requests while cold: grows by 1 with each 4 answers.
    int cold_limit = 0;
    int answers = 0;
    int in_flight = 0;
    /// Time integral of `in_flight` over the current window, in request-µs.
    double integral = 0;
    time_point integrated;
  };
  struct event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void arrive();
  void start(int upstream, const model_request& request);
  void finish(int upstream, std::uint64_t run, const model_request& request);
  void make_cold();
  void become_cold(int upstream);
  void reset(int upstream, const model_request& request);
  void change_in_flight(int upstream, int change);
  void close_window();
  bool measuring() const;
  duration exponential(duration mean);

  model_settings settings_;
  cold_cause cause_;
  std::mt19937_64 random_;
  time_point now_{seconds(100)};
  time_point start_ = now_;
  std::uint64_t next_event_ = 0;
  std::uint64_t next_request_ = 0;
  std::priority_queue<event> events_;
  std::vector<model_upstream> upstreams_;
  assignment* chosen_ = nullptr;
  int times_cold_ = 0;
  int excess_ = 0;
  std::vector<double> imbalances_;
  std::vector<double> waits_ms_;
  model_figures figures_;
};

/// Prints a figure and its target (design, section 9) on one line.
void print_figure(const std::string& name, double value, const char* unit,
                  double target);

}  // namespace rosemarydrum::bench
