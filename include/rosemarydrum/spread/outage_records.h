#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "rosemarydrum/store/kv_store.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// Prefix of the keys of outage records, one for each data centre.
inline constexpr std::string_view outages_prefix = "rosemarydrum/outages/";

/// Keeps a record in the store of each data centre that operators have taken
/// out of service, until its upstreams are warm again after its return.
/// Processes that start find it there if no other member is left that has seen
/// the return.
class outage_records {
 public:
  /// `data_centres_prefix`: prefix of the operators' keys of the data centres
  /// that are out of service.
  outage_records(kv_store& store, std::string_view data_centres_prefix);
  ~outage_records();

  /// Handles a change of an item of the store. Ignores other items.
  void on_item(const kv_item& item, time_point now);
  /// Starts the write that is due, if this member reads the store. Of several
  /// members that do, those of a higher rank wait for the others' writes. The
  /// upstreams of a data centre are warm `cold_time` after its return.
  void tick(bool is_reading, std::size_t rank, duration cold_time,
            time_point now);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace rosemarydrum
