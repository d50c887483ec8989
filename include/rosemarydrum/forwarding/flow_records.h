#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "rosemarydrum/forwarding/flow_record.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

inline constexpr std::size_t max_flow_records = 65'536;

/// The upstreams of open flows whose tags may name others. Each is kept for the
/// lifetime of a flow; the oldest are dropped if there are too many.
class flow_records {
 public:
  explicit flow_records(duration lifetime) : lifetime_(lifetime) {}

  /// Applies a record; the earliest one of a flow counts. One of a flow that is
  /// being opened drops that of an earlier flow of the same ends.
  void apply(const flow_record& record, time_point now);
  void erase(const flow_ends& flow) { upstreams_.erase(flow); }
  std::optional<flow_record> find(const flow_ends& flow, time_point now) const;
  /// Returns all records, with their ages.
  std::vector<flow_record> all(time_point now) const;

  void expire(time_point now);
  std::size_t size() const { return upstreams_.size(); }

 private:
  struct entry {
    upstream_key upstream{};
    time_point made_at;
  };
  struct deadline {
    flow_ends flow;
    time_point made_at;
  };

  static flow_record record_of(const flow_ends& flow, const entry& known,
                               time_point now);
  void drop_oldest();

  duration lifetime_;
  std::unordered_map<flow_ends, entry> upstreams_;
  /// In the order of arrival.
  std::deque<deadline> made_;
};

}  // namespace rosemarydrum
