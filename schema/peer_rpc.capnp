# RPC interface between balancers over TCP, also used by the operators' command.
# Separate from peer.capnp so that the library does not need the RPC runtime.
@0xd8a4c29f7b1e6035;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rosemarydrum::wire");

struct Status {
  id @0 :UInt32;
  run @1 :UInt64;
  dataCentre @2 :UInt16;
  ready @3 :Bool;
  leaving @4 :Bool;
  configuration @5 :UInt64;
  unfinishedRequests @6 :UInt64;
  flows @7 :UInt64;
  # Shards that this balancer decides.
  decided @8 :List(UInt16);
  # Balancers that it can reach.
  live @9 :List(UInt32);
}

interface Peer {
  # `message` is an encoded PeerMessage of peer.capnp, at most 1 MiB. Accepted
  # only from configured peers.
  deliver @0 (message :Data) -> ();
  # Keeps the connection open; a connection without calls for 3 s is closed.
  ping @1 () -> ();
  # Returns an encoded PeerMessage with the time line from sequence number
  # `first` on.
  events @2 (first :UInt64) -> (page :Data);
  status @3 () -> (status :Status);
}
