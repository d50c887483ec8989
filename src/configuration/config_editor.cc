#include "rosemarydrum/configuration/config_editor.h"

#include <algorithm>
#include <utility>

#include "configuration/config_editor_state.h"

namespace rosemarydrum {

config_editor::config_editor(config_store& store, edit_settings settings)
    : state_(std::make_shared<state>(store, settings)) {}

config_editor::~config_editor() = default;

void config_editor::start(edit requested, time_point now, callback done) {
  auto& s = *state_;
  s.requested = std::move(requested);
  s.done = std::move(done);
  s.deadline = now + s.settings.deadline;
  s.retry_delay = s.settings.first_retry;
  s.last_error = error_kind::timed_out;
  s.uncertain_writes = 0;
  s.perform(edit_step::listing);
}

void config_editor::tick(time_point now) {
  auto& s = *state_;
  if (s.step == edit_step::idle) {
    return;
  }
  if (now >= s.deadline) {
    s.finish(s.last_error, s.outcome());
    return;
  }
  if (s.waiting_for_answer) {
    return;
  }
  if (!s.retry_at) {
    s.retry_at = now + s.retry_delay;
    s.retry_delay = std::min(s.retry_delay * 2, s.settings.longest_retry);
  } else if (now >= *s.retry_at) {
    s.perform(s.step);
  }
}

bool config_editor::busy() const { return state_->step != edit_step::idle; }

}  // namespace rosemarydrum
