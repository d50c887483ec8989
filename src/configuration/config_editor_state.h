#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration/document_set.h"
#include "rosemarydrum/configuration/config_editor.h"

namespace rosemarydrum {

/// What an edit does or will retry next.
enum class edit_step : std::uint8_t { idle, listing, writing, reading_back };

struct config_editor::state : std::enable_shared_from_this<state> {
  explicit state(config_store& used, edit_settings chosen)
      : store(used), settings(chosen) {}

  config_store& store;
  edit_settings settings;

  // What the store has shown; kept between edits, so that a later edit lists
  // only what has changed.
  std::map<std::string, document> known;
  revision known_last{};
  detail::document_set decoded;

  edit wanted;
  callback done;
  edit_step now_doing = edit_step::idle;
  time_point deadline;
  // Counts calls, so that answers to earlier ones are recognised.
  std::uint64_t call = 0;
  bool waiting_for_answer = false;
  std::optional<time_point> retry_at;
  milliseconds retry_delay{};
  error_kind last_error = error_kind::none;

  store_write write;
  std::vector<std::string> base_operations;
  // Writes of this edit that may have been or may still be performed.
  int uncertain_writes = 0;

  template <typename Result>
  config_store::callback<Result> answer(void (state::*handle)(const Result&)) {
    waiting_for_answer = true;
    retry_at.reset();
    return [self = weak_from_this(), number = ++call,
            handle](const Result& result) {
      const auto alive = self.lock();
      if (alive && alive->call == number && alive->waiting_for_answer) {
        alive->waiting_for_answer = false;
        ((*alive).*handle)(result);
      }
    };
  }

  void perform(edit_step next);
  void try_again(edit_step next, error_kind error);
  void on_listing(const store_listing& listing);
  void on_written(const store_written& written);
  void on_read_back(const store_read& read);
  void modify();
  void judge(const document& found);
  void finish(error_kind error, certainty outcome, revision changed = {},
              std::vector<field_error> problems = {});
  certainty outcome() const {
    return uncertain_writes > 0 ? certainty::unknown : certainty::not_run;
  }
};

}  // namespace rosemarydrum
