#pragma once

#include <sstream>
#include <string>
#include <vector>

#include "command/blocking_store.h"
#include "command/run_command.h"
#include "fake_fleet.h"
#include "memory_store.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum::test {

/// Exit code and output of one run of the command.
struct command_run {
  int code = 0;
  std::string out;
  std::string err;

  bool shows(std::string_view text) const {
    return out.find(text) != std::string::npos;
  }
};

/// A store with two data centres, `north` and `south`, and a service
/// `hour-signal` of owner carol with an upstream in each.
class command_fixture {
 public:
  command_fixture() {
    put("data-centre/north", north);
    put("data-centre/south", south);
    put("service/hour-signal", hour_signal);
  }

  manual_time clock{seconds(100)};
  memory_store store;
  fake_fleet fleet;

  /// Runs after each of the store's answers.
  std::function<void()> after_step = [] {};

  void put(const std::string& key, const std::string& text) {
    const auto found = store.current_documents();
    store.compare_and_swap(
        {key, text, found.contains(key) ? found.at(key).changed : revision{},
         "test"},
        [](const store_write_result&) {});
    store.run_all();
  }

  std::string text_of(const std::string& key) const {
    const auto found = store.current_documents();
    return found.contains(key) ? found.at(key).text : std::string();
  }

  /// `input` is the standard input of the command.
  command_run run(std::vector<std::string> words, const std::string& input = "",
                  const std::string& operator_name = "carol") {
    words.push_back("--store=127.0.0.1:1");
    words.push_back("--timeout-ms=2000");
    if (!operator_name.empty()) {
      words.push_back("--operator=" + operator_name);
    }
    auto loaded = load_settings(program::command, words,
                                [](const char*) { return nullptr; });
    blocking_store blocking(
        store, [this] { step(); }, milliseconds(2000));
    std::istringstream in(input);
    command_context context{
        std::get<settings>(std::move(loaded)),
        blocking,
        fleet,
        in,
        [] { return runtime_clock::to_unix(runtime_clock::now()); },
        [this](milliseconds time) { clock.advance(time); },
        [this] { return ++random_; }};
    std::ostringstream out;
    std::ostringstream err;
    const auto code = run_command(context, out, err);
    return {code, out.str(), err.str()};
  }

  static constexpr const char* north = R"({"id":1,"state":"in","balancers":[
    {"id":1,"address":"127.0.0.1:7100"},{"id":2,"address":"127.0.0.1:7200"}]})";
  static constexpr const char* south = R"({"id":2,"state":"in","balancers":[
    {"id":3,"address":"127.0.0.1:7300"}]})";
  static constexpr const char* hour_signal = R"({"id":1,"owner":"carol",
    "address":"10.0.0.1:9000","approvals":[],"upstreams":[
    {"id":1,"data_centre":1,"address":"10.0.1.1:7000","slots":4,"state":"in"},
    {"id":2,"data_centre":2,"address":"10.0.2.1:7000","slots":4,
     "state":"in"}]})";

 private:
  void step() {
    if (store.waiting() > 0) {
      store.run();
      after_step();
    }
    clock.advance(milliseconds(10));
  }

  std::uint64_t random_ = 0;
};

}  // namespace rosemarydrum::test
