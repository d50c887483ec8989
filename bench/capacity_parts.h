#pragma once

/// The groups of slopes of bench/capacity.cc; each prints its own.
namespace rosemarydrum::bench {

/// Heartbeats and configuration changes against the members of a cell.
void measure_cell();
/// Times to notice and replace a member that is silent or cut off one way.
void measure_faults();
/// Configuration that a restarted balancer pulls, against services.
void measure_join();
/// Bytes and time of the configuration against services.
void measure_configuration();
/// Memory and time of flow tables and copies against flows.
void measure_flows();
/// Memory of kept requests, witness records and events.
void measure_records();
/// Slot decisions against upstreams and services.
void measure_slots();
/// Bytes of messages against the number of entries in them.
void measure_messages();

}  // namespace rosemarydrum::bench
