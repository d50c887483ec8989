#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

/// Identifiers and time types that all components share.
namespace rosemarydrum {

/// The configured number of a balancer; stays the same across restarts.
enum class balancer_id : std::uint32_t {};
/// One run of a balancer or upstream, chosen anew at each start; 0: unknown.
enum class incarnation : std::uint64_t {};
enum class data_centre_id : std::uint16_t {};
enum class service_id : std::uint32_t {};
enum class upstream_id : std::uint32_t {};
/// A calling team, as named by its approval.
enum class caller_id : std::uint32_t {};
/// Chosen by the caller; unique per caller and service.
enum class flow_id : std::uint64_t {};
/// Chosen by the caller; unique within its flow.
enum class request_id : std::uint64_t {};
/// A group of services whose slots one decider grants.
enum class shard_id : std::uint16_t {};
/// Unique per incarnation of a decider.
enum class grant_id : std::uint64_t {};
/// Rises each time that the store is restored from a copy; 0: not stated.
enum class store_era : std::uint64_t {};

/// A revision of the store. Its number increases with each change within an
/// era. A restore loses the latest changes and gives their numbers out again,
/// so that revisions of different eras are ordered by the era.
struct revision {
  store_era era{};
  std::uint64_t number = 0;

  constexpr revision() = default;
  /// A revision of a store that does not state its era.
  constexpr explicit revision(std::uint64_t number_in_era)
      : number(number_in_era) {}
  constexpr revision(store_era in, std::uint64_t number_in_era)
      : era(in), number(number_in_era) {}

  static constexpr revision max() {
    return {store_era(UINT64_MAX), UINT64_MAX};
  }

  friend constexpr auto operator<=>(const revision&, const revision&) = default;
};

/// Shards in a cell (the balancers of one data centre).
inline constexpr std::uint16_t shard_count = 16;

/// The numeric value of an identifier.
template <typename Id>
constexpr auto value_of(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time since the runtime clock's epoch. Components are passed the time and do
/// not read the clock.
using duration = std::chrono::microseconds;
struct runtime_clock;
using time_point = std::chrono::time_point<runtime_clock, duration>;

/// Wall-clock time in Unix milliseconds; used only between processes.
using unix_ms = std::uint64_t;

/// Identifies a request.
struct request_key {
  caller_id caller{};
  service_id service{};
  flow_id flow{};
  request_id request{};

  friend auto operator<=>(const request_key&, const request_key&) = default;
};

/// Identifies a flow.
struct flow_key {
  caller_id caller{};
  service_id service{};
  flow_id flow{};

  friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// One run of a balancer process.
struct balancer_run {
  balancer_id id{};
  incarnation run{};

  friend auto operator<=>(const balancer_run&, const balancer_run&) = default;
};

/// One run of an upstream instance.
struct upstream_run {
  upstream_id id{};
  incarnation run{};

  friend auto operator<=>(const upstream_run&, const upstream_run&) = default;
};

/// An IPv4 address and port, both in host byte order.
struct endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

namespace detail {
/// Combines a hash with a value (the finaliser of splitmix64).
constexpr std::size_t mix(std::size_t seed, std::uint64_t value) {
  std::uint64_t x = seed + 0x9e3779b97f4a7c15ULL + value;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
}  // namespace detail

/// The shard that a service belongs to.
constexpr shard_id shard_of(service_id service) {
  return shard_id(detail::mix(0, value_of(service)) % shard_count);
}

}  // namespace rosemarydrum

template <>
struct std::hash<rosemarydrum::flow_key> {
  std::size_t operator()(const rosemarydrum::flow_key& key) const {
    using rosemarydrum::value_of;
    using rosemarydrum::detail::mix;
    return mix(mix(value_of(key.caller), value_of(key.service)),
               value_of(key.flow));
  }
};

template <>
struct std::hash<rosemarydrum::request_key> {
  std::size_t operator()(const rosemarydrum::request_key& key) const {
    using rosemarydrum::value_of;
    using rosemarydrum::detail::mix;
    return mix(std::hash<rosemarydrum::flow_key>{}(
                   {key.caller, key.service, key.flow}),
               value_of(key.request));
  }
};
