#include "forwarder/measured_store.h"

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {

template <typename Result>
kv_store::callback<Result> measured_store::counted(kind which,
                                                   callback<Result> done) {
  return [this, which, began = runtime_clock::now(),
          done = std::move(done)](const Result& result) {
    ++calls_[{which, result.error}];
    if (result.era != store_era{}) {
      era_ = result.era;
    }
    if (which != kind::watch) {
      call_time_.add(runtime_clock::now() - began);
    }
    done(result);
  };
}

void measured_store::get(const std::string& key, read_freshness freshness,
                         callback<kv_read_result> done) {
  const auto which =
      freshness == read_freshness::stale ? kind::stale_get : kind::get;
  inner_.get(key, freshness, counted(which, std::move(done)));
}

void measured_store::list(const std::string& prefix, const std::string& after,
                          read_freshness freshness,
                          callback<kv_read_result> done) {
  const auto which =
      freshness == read_freshness::stale ? kind::stale_list : kind::list;
  inner_.list(prefix, after, freshness, counted(which, std::move(done)));
}

void measured_store::watch(const std::string& prefix, revision after,
                           milliseconds wait, callback<kv_watch_result> done) {
  inner_.watch(prefix, after, wait, counted(kind::watch, std::move(done)));
}

void measured_store::write(const kv_transaction& wanted,
                           callback<kv_write_result> done) {
  inner_.write(wanted, counted(kind::write, std::move(done)));
}

void measured_store::grant_lease(milliseconds time_to_live,
                                 callback<kv_lease_result> done) {
  inner_.grant_lease(time_to_live, counted(kind::lease, std::move(done)));
}

void measured_store::keep_lease(lease_id lease,
                                callback<kv_lease_result> done) {
  inner_.keep_lease(lease, counted(kind::lease, std::move(done)));
}

void measured_store::end_lease(lease_id lease, callback<kv_lease_result> done) {
  inner_.end_lease(lease, counted(kind::lease, std::move(done)));
}

void measured_store::append_to(metrics_page& page) const {
  for (const auto& [which, count] : calls_) {
    const auto name =
        "store_calls_" +
        std::string(kind_names[static_cast<std::size_t>(which.first)]);
    page.counter(name, "outcome", description_of(which.second).name, count);
  }
  page.histogram("store_call_seconds", call_time_);
  page.gauge("store_era", static_cast<double>(value_of(era_)));
}

}  // namespace rosemarydrum
