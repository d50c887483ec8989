#include "rosemarydrum/spread/outage_records.h"

#include <optional>
#include <utility>

#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

constexpr milliseconds retry_delay{1000};
/// A member's write reaches the others within this time.
constexpr milliseconds rank_delay{1000};

}  // namespace

struct outage_records::state : std::enable_shared_from_this<state> {
  struct data_centre {
    bool is_out = false;
    /// When `is_out` became known.
    time_point since;
    /// Revision of its record; 0 if it has none.
    revision recorded{};
  };

  state(kv_store& target, std::string_view out_prefix)
      : store(target), operators_prefix(out_prefix) {}

  void on_item(const kv_item& item, time_point now) {
    const std::string_view key = item.key;
    if (key.starts_with(operators_prefix)) {
      auto& known = entry_of(key.substr(operators_prefix.size()), now);
      if (known.is_out == item.removed) {
        known.is_out = !item.removed;
        known.since = now;
      }
    } else if (key.starts_with(outages_prefix)) {
      entry_of(key.substr(outages_prefix.size()), now).recorded =
          item.removed ? revision{} : item.changed;
    }
  }

  data_centre& entry_of(std::string_view name, time_point now) {
    const auto [found, is_new] = data_centres.try_emplace(std::string(name));
    if (is_new) {
      found->second.since = now;
    }
    return found->second;
  }

  void tick(duration wait, duration cold_time, time_point now) {
    if (busy || now < next_attempt) {
      return;
    }
    for (const auto& [name, known] : data_centres) {
      const bool is_recorded = known.recorded != revision{};
      const auto due =
          known.since + wait + (known.is_out ? duration(0) : cold_time);
      if (known.is_out != is_recorded && now >= due) {
        write(std::string(outages_prefix) + name, known);
        return;
      }
    }
  }

  void write(const std::string& key, const data_centre& known) {
    kv_transaction transaction;
    transaction.expected.push_back({key, known.recorded});
    if (known.is_out) {
      transaction.puts.push_back({key, "{}", {}});
    } else {
      transaction.deletes.push_back(key);
    }
    busy = true;
    store.write(transaction,
                [self = shared_from_this()](const kv_write_result&) {
                  // The replica shows whether it has taken effect.
                  self->busy = false;
                  self->next_attempt = runtime_clock::now() + retry_delay;
                });
  }

  kv_store& store;
  std::string operators_prefix;
  std::map<std::string, data_centre, std::less<>> data_centres;
  bool busy = false;
  time_point next_attempt;
};

outage_records::outage_records(kv_store& store,
                               std::string_view data_centres_prefix)
    : state_(std::make_shared<state>(store, data_centres_prefix)) {}

outage_records::~outage_records() = default;

void outage_records::on_item(const kv_item& item, time_point now) {
  state_->on_item(item, now);
}

void outage_records::tick(bool is_reading, std::size_t rank, duration cold_time,
                          time_point now) {
  if (is_reading) {
    state_->tick(rank_delay * static_cast<int>(rank), cold_time, now);
  }
}

}  // namespace rosemarydrum
