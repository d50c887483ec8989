# Messages between balancers. The C++ types and their meaning are in
# include/rosemarydrum/balancer/peer_message.h; run scripts/generate after a change.
@0xe3c1f0b5a6d24791;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rosemarydrum::wire");

struct BalancerRun {
  id @0 :UInt32;
  run @1 :UInt64;
}

struct FlowKey {
  caller @0 :UInt32;
  service @1 :UInt32;
  flow @2 :UInt64;
}

struct RequestKey {
  caller @0 :UInt32;
  service @1 :UInt32;
  flow @2 :UInt64;
  request @3 :UInt64;
}

struct UpstreamLimit {
  service @0 :UInt32;
  upstream @1 :UInt32;
  run @2 :UInt64;
  limit @3 :UInt16;
}

struct RunningGrant {
  grant @0 :UInt64;
  service @1 :UInt32;
  upstream @2 :UInt32;
  runTimeLeftMs @3 :UInt32;
}

struct Heartbeat {
  sequence @0 :UInt64;
  echo @1 :UInt64;
  dataCentre @2 :UInt16;
  configuration @3 :UInt64;
  leaving @4 :Bool;
  wanted @5 :List(UInt16);
  granted @6 :List(UInt16);
  held @7 :List(UInt16);
  limits @8 :List(UpstreamLimit);
}

struct SlotAsk {
  ask @0 :UInt64;
  service @1 :UInt32;
  flow @2 :UInt64;
  caller @3 :UInt32;
  priority @4 :UInt8;
  idempotent @5 :Bool;
  opensFlow @6 :Bool;
  pinned @7 :UInt32;
  avoid @8 :List(UInt32);
  timeLeftMs @9 :UInt32;
  dataCentre @10 :UInt16;
  request @11 :UInt64;
  maySpill @12 :Bool;
}

struct SlotAnswer {
  ask @0 :UInt64;
  error @1 :UInt8;
  grant @2 :UInt64;
  service @3 :UInt32;
  upstream @4 :UInt32;
  upstreamRun @5 :UInt64;
  runTimeMs @6 :UInt32;
  mayWait @7 :Bool;
}

struct SlotRelease {
  grant @0 :UInt64;
  service @1 :UInt32;
  upstream @2 :UInt32;
  upstreamRun @3 :UInt64;
  outcome @4 :UInt8;
  latencyUs @5 :UInt32;
  reportedLoad @6 :UInt16;
}

struct GrantsReport {
  shard @0 :UInt16;
  grants @1 :List(RunningGrant);
}

struct LeaseHandover {
  shard @0 :UInt16;
  grants @1 :List(RunningGrant);
  limits @2 :List(UpstreamLimit);
}

struct RecordAsk {
  request @0 :RequestKey;
  tokenExpires @1 :UInt64;
}

struct RecordAnswer {
  request @0 :RequestKey;
  recorded @1 :Bool;
}

struct CloseAsk {
  request @0 :RequestKey;
  owner @1 :BalancerRun;
  witness @2 :BalancerRun;
  tokenExpires @3 :UInt64;
}

struct CloseAnswer {
  request @0 :RequestKey;
  closed @1 :Bool;
}

struct RequestForward {
  hops @0 :UInt8;
  callerAddress @1 :UInt32;
  callerPort @2 :UInt16;
  serviceAddress @3 :UInt32;
  servicePort @4 :UInt16;
  datagram @5 :Data;
}

struct ForwardAck {
  request @0 :RequestKey;
}

struct FlowAsk {
  flow @0 :FlowKey;
}

struct FlowAnswer {
  flow @0 :FlowKey;
  upstream @1 :UInt32;
  run @2 :UInt64;
}

struct FlowCopy {
  service @0 :UInt32;
  fingerprints @1 :List(UInt32);
  upstreams @2 :List(UInt16);
}

struct Document {
  key @0 :Text;
  text @1 :Text;
  changed @2 :UInt64;
}

struct ConfigPush {
  documents @0 :List(Document);
}

struct ConfigPull {
  after @0 :UInt64;
}

struct EventsPull {
  first @0 :UInt64;
}

struct EventRecord {
  id @0 :UInt16;
  process @1 :UInt32;
  run @2 :UInt64;
  sequence @3 :UInt64;
  logicalTime @4 :UInt64;
  wallTime @5 :UInt64;
  service @6 :UInt32;
  flow @7 :UInt64;
  request @8 :UInt64;
  upstream @9 :UInt32;
  dataCentre @10 :UInt16;
  configuration @11 :UInt64;
  detail @12 :UInt64;
  suppressed @13 :UInt32;
}

struct EventsPage {
  events @0 :List(EventRecord);
}

struct PeerMessage {
  fromId @0 :UInt32;
  fromRun @1 :UInt64;
  toRun @2 :UInt64;
  logicalTime @3 :UInt64;
  body :union {
    none @4 :Void;
    heartbeat @5 :Heartbeat;
    slotAsk @6 :SlotAsk;
    slotAnswer @7 :SlotAnswer;
    slotRelease @8 :SlotRelease;
    grantsReport @9 :GrantsReport;
    leaseHandover @10 :LeaseHandover;
    recordAsk @11 :RecordAsk;
    recordAnswer @12 :RecordAnswer;
    closeAsk @13 :CloseAsk;
    closeAnswer @14 :CloseAnswer;
    requestForward @15 :RequestForward;
    forwardAck @16 :ForwardAck;
    flowAsk @17 :FlowAsk;
    flowAnswer @18 :FlowAnswer;
    flowCopy @19 :FlowCopy;
    configPush @20 :ConfigPush;
    configPull @21 :ConfigPull;
    eventsPull @22 :EventsPull;
    eventsPage @23 :EventsPage;
  }
}
