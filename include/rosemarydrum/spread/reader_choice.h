#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "rosemarydrum/spread/member_record.h"
#include "rosemarydrum/spread/spread_message.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

using member_map = std::map<std::string, member_record>;

/// Decides whether this member reads the store for its data centre. It follows
/// from the members' records and from what readers say; nothing is elected,
/// and two members may read at a time.
class reader_choice {
 public:
  /// `members` must outlive this object.
  reader_choice(const member_record& self, const member_map& members)
      : self_(self), members_(members) {}

  /// What a member says of itself. `believed`: not while old messages are read.
  void on_bulletin(const std::string& sender, const bulletin& told,
                   milliseconds longest_age, bool believed, time_point now);

  /// Whether to read the store, by the time of the last confirmation.
  bool reads(bool read_before, time_point confirmed_at,
             milliseconds longest_age, time_point now) const;
  /// Members of the own data centre that read the store before this one.
  std::size_t rank() const;
  /// Whether a member that comes before this one reads the store.
  bool is_covered(time_point now) const { return reader(now) != nullptr; }
  /// That member; nullptr if there is none.
  const member_record* reader(time_point now) const;

 private:
  /// What was last heard of a member that reads the store.
  struct heard_reader {
    time_point fresh_at;
    bool leaving = false;
  };

  bool comes_before(const member_record& other) const;
  /// Age of what is known at which this member starts to read the store.
  duration takeover_age(milliseconds longest_age) const;

  const member_record& self_;
  const member_map& members_;
  std::map<std::string, heard_reader> readers_;
};

}  // namespace rosemarydrum
