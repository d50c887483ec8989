#include "script.h"

#include <map>
#include <sstream>
#include <stdexcept>

namespace rosemarydrum::scenario {
namespace {

/// Reads the words of one line from left to right.
class line_reader {
 public:
  explicit line_reader(const std::string& line) : line_(line), in_(line) {}

  std::string next() {
    std::string word;
    if (!(in_ >> word)) {
      throw std::runtime_error("missing word at the end of scenario line: " +
                               line_);
    }
    return word;
  }
  bool has_more() { return (in_ >> std::ws).good(); }
  double number() {
    const auto word = next();
    try {
      return std::stod(word);
    } catch (const std::exception&) {
      throw std::runtime_error("invalid number \"" + word +
                               "\" in scenario line: " + line_);
    }
  }
  std::uint32_t index() { return static_cast<std::uint32_t>(number()); }
  double percent() { return number() / 100; }
  /// Reads a time such as 250ms or 20s.
  duration time() {
    const auto word = next();
    std::size_t unit = 0;
    const double value = std::stod(word, &unit);
    const auto name = word.substr(unit);
    if (name != "ms" && name != "s") {
      throw std::runtime_error(
          "invalid time \"" + word +
          "\" (unit must be ms or s) in scenario line: " + line_);
    }
    return duration(
        static_cast<duration::rep>(value * (name == "s" ? 1e6 : 1e3)));
  }
  const std::string& line() const { return line_; }
  /// Returns the part of the line that has not been read yet.
  std::string rest() {
    std::string text;
    std::getline(in_, text);
    return text;
  }

 private:
  std::string line_;
  std::istringstream in_;
};

load_profile read_load(line_reader& w) {
  load_profile p;
  p.service = service_id(w.index());
  while (w.has_more()) {
    const auto key = w.next();
    if (key == "from") {
      p.data_centre = data_centre_id(static_cast<std::uint16_t>(w.index()));
    } else if (key == "rate") {
      p.per_second = w.number();
    } else if (key == "for") {
      p.length = w.time();
    } else if (key == "deadline") {
      p.deadline = w.time();
    } else if (key == "priority") {
      p.priority = static_cast<std::uint8_t>(w.index());
    } else if (key == "non-idempotent") {
      p.non_idempotent = w.percent();
    } else if (key == "echo") {
      p.echo_token = w.percent();
    } else if (key == "long") {
      p.long_flows = w.percent();
    } else if (key == "reopen") {
      p.reopens = true;
    } else if (key == "unapproved") {
      p.approved = false;
    } else {
      throw std::runtime_error("unknown load option \"" + key +
                               "\" in scenario line: " + w.line());
    }
  }
  return p;
}

constexpr seconds warm_up_time{5};

service_state read_state(line_reader& w) {
  return w.next() == "out" ? service_state::out : service_state::in;
}

using command = void (*)(world&, line_reader&);

/// Commands that run at the start, or at a given time after `at <time>`.
const std::map<std::string, command>& commands() {
  static const std::map<std::string, command> table{
      {"load", [](world& w, line_reader& l) { w.add_load(read_load(l)); }},
      {"kill", [](world& w, line_reader& l) { w.kill(l.index()); }},
      {"start", [](world& w, line_reader& l) { w.start_balancer(l.index()); }},
      {"stop", [](world& w, line_reader& l) { w.stop(l.index()); }},
      {"freeze",
       [](world& w, line_reader& l) {
         const auto number = l.index();
         w.freeze(number, l.time());
       }},
      {"cut",
       [](world& w, line_reader& l) {
         const auto from = l.next();
         w.cut(from, l.next(), true);
       }},
      {"cut-one-way",
       [](world& w, line_reader& l) {
         const auto from = l.next();
         w.cut(from, l.next(), false);
       }},
      {"heal",
       [](world& w, line_reader& l) {
         const auto from = l.next();
         w.heal(from, l.next());
       }},
      {"store",
       [](world& w, line_reader& l) { w.set_store(l.next() == "up"); }},
      {"stale-store", [](world& w, line_reader&) { w.make_store_stale(); }},
      {"data-centre",
       [](world& w, line_reader& l) {
         const auto number = static_cast<std::uint16_t>(l.index());
         w.set_data_centre(number, read_state(l));
       }},
      {"upstream",
       [](world& w, line_reader& l) {
         const auto number = l.index();
         w.set_upstream(number, read_state(l));
       }},
      {"turn-cold", [](world& w, line_reader& l) { w.turn_cold(l.index()); }},
      {"restart-upstream",
       [](world& w, line_reader& l) { w.restart_upstream(l.index()); }},
      {"loss", [](world& w, line_reader& l) { w.set_loss(l.percent()); }},
      {"warm", [](world& w, line_reader&) { w.warm_up(); }},
  };
  return table;
}

bool compare(double left, const std::string& comparison, double right) {
  return comparison == "=="   ? left == right
         : comparison == "<=" ? left <= right
                              : left >= right;
}

}  // namespace

std::vector<expectation> run_script(const std::string& text, std::uint64_t seed,
                                    const std::vector<std::string>& without,
                                    checker& checks) {
  simulation sim(seed);
  std::unique_ptr<world> target;
  std::vector<std::string> expected;
  duration length = seconds(10);
  std::uint16_t data_centres = 1;
  std::uint32_t balancers = 8;
  std::istringstream lines(text);
  const auto get_target = [&]() -> world& {
    if (!target) {
      target = std::make_unique<world>(sim, checks, data_centres, balancers);
    }
    return *target;
  };
  for (std::string line; std::getline(lines, line);) {
    line_reader w(line.substr(0, line.find('#')));
    if (!w.has_more()) {
      continue;
    }
    auto word = w.next();
    if (word == "data-centres") {
      data_centres = static_cast<std::uint16_t>(w.index());
    } else if (word == "balancers") {
      balancers = w.index();
    } else if (word == "run") {
      length = w.time();
    } else if (word == "service") {
      const auto number = w.index();
      const auto upstreams = static_cast<std::uint16_t>(w.index());
      const auto slots = static_cast<std::uint16_t>(w.index());
      get_target().add_service(number, upstreams, slots, w.time());
    } else if (word == "begin") {
      for (const auto& mechanism : without) {
        get_target().disable_mechanism(mechanism);
      }
      get_target().start();
      // Gives the balancers time to elect deciders and the upstreams to warm
      // up.
      sim.run_for(warm_up_time);
    } else if (word == "fails-without") {
      continue;  // Handled by the test, which runs the scenario again.
    } else if (word == "expect") {
      expected.push_back(w.line());
    } else {
      const auto at = word == "at" ? w.time() : duration{};
      word = word == "at" ? w.next() : word;
      const auto found = commands().find(word);
      if (found == commands().end()) {
        throw std::runtime_error("unknown command in scenario line: " + line);
      }
      sim.after(at, [&target, rest = w.rest(), run = found->second] {
        line_reader arguments(rest);
        run(*target, arguments);
      });
    }
  }
  sim.run_for(length);
  get_target().finish();
  std::vector<expectation> results;
  for (const auto& line : expected) {
    line_reader w(line);
    w.next();
    const auto measured = checks.value(w.next());
    const auto comparison = w.next();
    results.push_back(
        {line, measured, compare(measured, comparison, w.number())});
  }
  return results;
}

}  // namespace rosemarydrum::scenario
