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

/// The step that is running or will be retried.
enum class edit_step : std::uint8_t { idle, listing, writing, reading_back };

struct config_editor::state : std::enable_shared_from_this<state> {
  explicit state(config_store& used, edit_settings chosen)
      : store(used), settings(chosen) {}

  config_store& store;
  edit_settings settings;

  // The latest version of each document. Kept between edits, so that a later
  // edit lists only what has changed since.
  std::map<std::string, document> latest_documents;
  revision listed_up_to{};
  detail::document_set decoded;

  edit requested;
  callback done;
  edit_step step = edit_step::idle;
  time_point deadline;
  // Number of the latest store call; answers to earlier calls are ignored.
  std::uint64_t call_number = 0;
  bool waiting_for_answer = false;
  std::optional<time_point> retry_at;
  milliseconds retry_delay{};
  error_kind last_error = error_kind::none;

  store_write write;
  std::vector<std::string> base_operations;
  // Writes of this edit that have not definitely failed: the store may have
  // performed them or may still do so.
  int uncertain_writes = 0;

  // A callback that passes the answer to `handle`, unless the editor is gone or
  // has made another call since.
  template <typename Result>
  config_store::callback<Result> on_answer(
      void (state::*handle)(const Result&)) {
    waiting_for_answer = true;
    retry_at.reset();
    return [self = weak_from_this(), number = ++call_number,
            handle](const Result& result) {
      const auto alive = self.lock();
      if (alive && alive->call_number == number && alive->waiting_for_answer) {
        alive->waiting_for_answer = false;
        ((*alive).*handle)(result);
      }
    };
  }

  void perform(edit_step next);
  void schedule_retry(edit_step next, error_kind error);
  void on_listing(const store_listing& listing);
  void on_written(const store_write_result& written);
  void on_read_back(const store_read_result& read);
  void modify();
  void resolve_uncertain_write(const document& found);
  void finish(error_kind error, certainty outcome, revision changed = {},
              std::vector<field_error> problems = {});
  certainty outcome() const {
    return uncertain_writes > 0 ? certainty::unknown : certainty::not_run;
  }
};

}  // namespace rosemarydrum
