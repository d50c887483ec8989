#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "rosemarydrum/spread/member_record.h"
#include "rosemarydrum/spread/spread_message.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

using member_map = std::map<std::string, member_record>;

/// Decides whether this member reads the store for its data centre. Members are
/// ranked by capacity, then by a hash of the name. The decision follows from
/// the members' records and the readers' bulletins, without an election, so
/// that two members may read at the same time.
class reader_choice {
 public:
  /// `members` must outlive this object.
  reader_choice(const member_record& self, const member_map& members)
      : self_(self), members_(members) {}

  /// Records what a member says of itself. `is_current` is false while messages
  /// that were queued during a stall are processed.
  void on_bulletin(const std::string& sender, const bulletin& body,
                   milliseconds max_age, bool is_current, time_point now);

  /// Whether this member should read the store, given the last confirmation of
  /// its replica.
  bool should_read(bool was_reading, time_point confirmed_at,
                   milliseconds max_age, time_point now) const;
  /// Number of members of this data centre that outrank this one and are not
  /// leaving.
  std::size_t rank() const;
  /// Whether a member that outranks this one reads the store.
  bool has_outranking_reader(time_point now) const {
    return reader(now) != nullptr;
  }
  /// Returns that member; nullptr if there is none.
  const member_record* reader(time_point now) const;

 private:
  /// What a member's bulletins say about its role as a reader.
  struct reader_state {
    /// Receipt of its last bulletin as a reader with fresh items.
    time_point last_reading_at;
    bool leaving = false;
  };

  bool is_outranked_by(const member_record& other) const;
  /// Age of the last confirmation at which this member starts to read the
  /// store.
  duration takeover_age(milliseconds max_age) const;

  const member_record& self_;
  const member_map& members_;
  std::map<std::string, reader_state> reader_states_;
};

}  // namespace rosemarydrum
