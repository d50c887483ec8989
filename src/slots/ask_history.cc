#include "slots/ask_history.h"

namespace rosemarydrum::detail {

ask_record* ask_history::find(const ask_key& key) {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

ask_record& ask_history::put(const ask_key& key, const ask_record& record) {
  return records_.insert_or_assign(key, record).first->second;
}

void ask_history::finish(const ask_key& key, error_kind error, time_point now) {
  ask_record& record = records_[key];
  record.progress = ask_progress::answered;
  record.error = error;
  answered_.push_back({key, now + answered_retention});
  if (answered_.size() > max_answered) {
    evict_oldest();
  }
}

void ask_history::evict_oldest() {
  records_.erase(answered_.front().key);
  answered_.pop_front();
}

void ask_history::tick(time_point now) {
  while (!answered_.empty() && answered_.front().until <= now) {
    evict_oldest();
  }
}

}  // namespace rosemarydrum::detail
