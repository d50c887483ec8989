#pragma once

#include <array>
#include <map>
#include <string_view>
#include <utility>

#include "metrics/duration_histogram.h"
#include "metrics/metrics_page.h"
#include "rosemarydrum/store/kv_store.h"

namespace rosemarydrum {

/// Forwards calls to a store and counts them by kind and outcome.
class measured_store : public kv_store {
 public:
  explicit measured_store(kv_store& inner) : inner_(inner) {}

  void get(const std::string& key, read_freshness freshness,
           callback<kv_read_result> done) override;
  void list(const std::string& prefix, const std::string& after,
            read_freshness freshness, callback<kv_read_result> done) override;
  void watch(const std::string& prefix, revision after, milliseconds wait,
             callback<kv_watch_result> done) override;
  void write(const kv_transaction& wanted,
             callback<kv_write_result> done) override;
  void grant_lease(milliseconds time_to_live,
                   callback<kv_lease_result> done) override;
  void keep_lease(lease_id lease, callback<kv_lease_result> done) override;
  void end_lease(lease_id lease, callback<kv_lease_result> done) override;

  void append_to(metrics_page& page) const;
  /// Era of the latest answer; 0 before the first one.
  store_era era() const { return era_; }

 private:
  enum class kind : std::uint8_t {
    get,
    stale_get,
    list,
    stale_list,
    watch,
    write,
    lease,
    count
  };
  static constexpr std::size_t kinds = static_cast<std::size_t>(kind::count);
  static constexpr std::array<std::string_view, kinds> kind_names{
      {"get", "stale_get", "list", "stale_list", "watch", "write", "lease"}};

  /// Wraps `done` so that the call is counted before `done` runs.
  template <typename Result>
  callback<Result> counted(kind which, callback<Result> done);

  kv_store& inner_;
  std::map<std::pair<kind, error_kind>, std::uint64_t> calls_;
  store_era era_{};
  /// Excludes watches, which wait for changes.
  duration_histogram call_time_;
};

}  // namespace rosemarydrum
