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
  # Era of `changed`.
  era @5 :UInt64;
  restored @6 :Bool;
  # Time since the removal, at least 1; 0 if it is not known.
  removedForMs @7 :UInt32;
}

struct ReportedFailures {
  reporter @0 :UInt64;
  upstream @1 :UInt64;
  count @2 :UInt32;
  unused @3 :UInt32;
}

# What the sender has seen of an upstream, `ageMs` ago.
struct UpstreamSighting {
  upstream @0 :UInt64;
  kind @1 :Kind;
  ageMs @2 :UInt32;
  openMs @3 :UInt32;
  enum Kind {
    answer @0;
    lostData @1;
    unansweredHandshake @2;
  }
}

struct FlowRecord {
  callerAddress @0 :UInt32;
  callerPort @1 :UInt16;
  serviceAddress @2 :UInt32;
  servicePort @3 :UInt16;
  opening @4 :Bool;
  upstream @5 :UInt64;
  ageMs @6 :UInt32;
}

# What the sender has seen and the store does not tell.
struct MemberHistory {
  flows @0 :List(FlowRecord);
  # For how long the sender has known all removals.
  coveredMs @1 :UInt32;
  sightings @2 :List(UpstreamSighting);
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
      # Eras of the revisions above, and the bridge between two eras.
      afterEra @14 :UInt64;
      shownEra @15 :UInt64;
      bridge @16 :UInt64;
      bridgeEra @17 :UInt64;
      # Where the sender has entered the era of `shownAt`.
      eraStart @18 :UInt64;
      # Only in answers to processes that start.
      history @19 :MemberHistory;
    }
    inquiry @9 :Void;
    failures @12 :List(ReportedFailures);
    flows @20 :List(FlowRecord);
    sightings @21 :List(UpstreamSighting);
  }
  # Lamport clock of the sender.
  logicalTime @10 :UInt64;
  # Era of `at`.
  era @13 :UInt64;
}
