#include "command/blocking_store.h"

#include <algorithm>
#include <memory>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds retry_interval{100};

bool is_transient(error_kind error) {
  return error == error_kind::store_unavailable ||
         error == error_kind::timed_out;
}

std::string outcome_text(const std::string& key, error_kind error,
                         certainty outcome) {
  std::string text = key + ": ";
  text += description_of(error).text;
  text += outcome == certainty::unknown
              ? "; the change may be in force, look with `rosemarydrum config "
                "history " +
                    key + "`"
              : "; nothing is written";
  return text;
}

}  // namespace

blocking_store::blocking_store(config_store& store, std::function<void()> step,
                               milliseconds timeout)
    : store_(store),
      step_(std::move(step)),
      timeout_(timeout),
      editor_(store,
              edit_settings{timeout, milliseconds(100), milliseconds(1000)}) {}

time_point blocking_store::deadline() const {
  return runtime_clock::now() + timeout_;
}

template <typename Result, typename Start>
Result blocking_store::wait(Start start, time_point give_up) {
  // Shared with the callback, which may run after the wait has timed out.
  const auto answer = std::make_shared<std::optional<Result>>();
  start([answer](const Result& result) { *answer = result; });
  while (!*answer && runtime_clock::now() < give_up) {
    step_();
  }
  if (!*answer) {
    Result expired;
    expired.error = error_kind::timed_out;
    return expired;
  }
  return std::move(**answer);
}

void blocking_store::pause(time_point give_up) {
  const auto until = std::min(give_up, runtime_clock::now() + retry_interval);
  while (runtime_clock::now() < until) {
    step_();
  }
}

template <typename Result, typename Start>
Result blocking_store::read(Start start, time_point give_up) {
  while (true) {
    auto answer = wait<Result>(start, give_up);
    if (!is_transient(answer.error)) {
      return answer;
    }
    pause(give_up);
    if (runtime_clock::now() >= give_up) {
      return answer;
    }
  }
}

result<std::vector<document>> blocking_store::list(std::string_view prefix) {
  const std::string wanted(prefix);
  auto found = read<store_listing>(
      [&](auto done) { store_.list(wanted, revision{}, std::move(done)); },
      deadline());
  if (found.error != error_kind::none) {
    return fail(found.error, "listing " + wanted + "*: " +
                                 std::string(description_of(found.error).text));
  }
  std::erase_if(found.documents,
                [](const auto& each) { return each.text.empty(); });
  std::sort(found.documents.begin(), found.documents.end(),
            [](const auto& a, const auto& b) { return a.key < b.key; });
  return std::move(found.documents);
}

result<document> blocking_store::get(const std::string& key) {
  auto found = read<store_read_result>(
      [&](auto done) { store_.get(key, std::move(done)); }, deadline());
  if (found.error == error_kind::not_found) {
    return document{key, {}, {}};
  }
  if (found.error != error_kind::none) {
    return fail(found.error,
                key + ": " + std::string(description_of(found.error).text));
  }
  return std::move(found.value);
}

result<revision> blocking_store::edit(const std::string& key,
                                      const document_value& value,
                                      revision expected,
                                      const std::string& operation) {
  std::optional<edit_result> done;
  editor_.start({key, operation, expected,
                 [&](const configuration&, document_value& target) {
                   target = value;
                   return error_kind::none;
                 }},
                runtime_clock::now(),
                [&](const edit_result& answer) { done = answer; });
  while (!done) {
    step_();
    editor_.tick(runtime_clock::now());
  }
  if (done->error == error_kind::none) {
    return done->changed;
  }
  if (!done->problems.empty()) {
    return fail(done->error, done->problems);
  }
  return fail(done->error, outcome_text(key, done->error, done->outcome));
}

result<revision> blocking_store::write(const std::string& key,
                                       const std::string& text,
                                       revision expected,
                                       const std::string& operation) {
  const auto give_up = deadline();
  bool uncertain = false;
  auto error = error_kind::timed_out;
  while (runtime_clock::now() < give_up) {
    auto written = wait<store_write_result>(
        [&](auto done) {
          store_.compare_and_swap({key, text, expected, operation},
                                  std::move(done));
        },
        give_up);
    if (written.error == error_kind::none) {
      return written.changed;
    }
    error = written.error;
    // Without an answer, the default result's outcome applies.
    uncertain = uncertain || written.outcome != certainty::not_run;
    if (!is_transient(error) && !uncertain) {
      break;
    }
    if (uncertain) {
      const auto found = read<store_read_result>(
          [&](auto done) { store_.get(key, std::move(done)); }, give_up);
      if (found.error == error_kind::none && found.value.changed > expected) {
        const bool ours = text.empty() ? found.value.text.empty()
                                       : found.value.text.find(operation) !=
                                             std::string::npos;
        if (ours) {
          return found.value.changed;
        }
        // An earlier attempt may have taken effect before this conflicting
        // change.
        return fail(
            error_kind::conflict,
            outcome_text(key, error_kind::conflict, certainty::unknown));
      }
    }
    pause(give_up);
  }
  return fail(
      error, outcome_text(key, error,
                          uncertain ? certainty::unknown : certainty::not_run));
}

}  // namespace rosemarydrum
