# Messages between forwarders. The C++ types and their meaning are in
# include/rosemarydrum/spread/spread_message.h; run scripts/generate after a
# change.
@0xb1f09c7e25d3a864;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rosemarydrum::wire");

struct StoreItem {
  key @0 :Text;
  value @1 :Data;
  changed @2 :UInt64;
  removed @3 :Bool;
  omitted @4 :Bool;
}

struct ReportedFailures {
  reporter @0 :UInt64;
  upstream @1 :UInt64;
  count @2 :UInt32;
  stalled @3 :UInt32;
}

struct SpreadMessage {
  sender @0 :Text;
  run @1 :UInt64;
  at @2 :UInt64;
  kind :union {
    bulletin :group {
      reading @3 :Bool;
      leaving @4 :Bool;
      complete @5 :Bool;
      after @6 :UInt64;
      ageMs @7 :UInt32;
      items @8 :List(StoreItem);
      # Revision up to which the items are complete; `at` may be later.
      shownAt @11 :UInt64;
    }
    inquiry @9 :Void;
    failures @12 :List(ReportedFailures);
  }
  # Lamport clock of the sender.
  logicalTime @10 :UInt64;
}
