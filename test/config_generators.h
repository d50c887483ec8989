#pragma once

#include <rapidcheck.h>

#include <set>
#include <string>

#include "fixed_seed.h"
#include "rosemarydrum/configuration/config_codec.h"

/// Generators of random valid documents.
namespace rosemarydrum::test {

template <typename T>
T any_in(std::uint64_t min, std::uint64_t max) {
  return static_cast<T>(*rc::gen::inRange<std::uint64_t>(min, max + 1));
}

inline std::string any_label() {
  return *rc::gen::nonEmpty(rc::gen::resize(
      20, rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'))));
}

inline endpoint any_endpoint() {
  return {any_in<std::uint32_t>(1, UINT32_MAX),
          any_in<std::uint16_t>(1, UINT16_MAX)};
}

inline service_state any_state() {
  return *rc::gen::element(service_state::in, service_state::out);
}

inline service any_service(std::string name) {
  service generated;
  generated.name = std::move(name);
  generated.id = any_in<service_id>(1, UINT32_MAX);
  generated.owner = any_label();
  generated.address = any_endpoint();
  std::set<std::uint32_t> used;
  for (auto remaining = any_in<int>(0, 4); remaining > 0; --remaining) {
    approval item;
    item.caller = any_in<caller_id>(1, UINT32_MAX);
    item.team = any_label();
    item.source.length = any_in<std::uint8_t>(0, 32);
    item.source.address = item.source.length == 0
                              ? 0
                              : any_in<std::uint32_t>(0, UINT32_MAX)
                                    << (32 - item.source.length);
    item.idempotent = any_in<bool>(0, 1);
    item.max_priority = any_in<std::uint8_t>(0, 255);
    item.requests_per_second = any_in<std::uint32_t>(1, 10'000'000);
    if (used.insert(value_of(item.caller)).second &&
        used.insert(item.source.address).second) {
      generated.approvals.push_back(std::move(item));
    }
  }
  std::set<upstream_id> ids;
  for (auto remaining = any_in<int>(0, 4); remaining > 0; --remaining) {
    const upstream item{any_in<upstream_id>(1, UINT32_MAX),
                        any_in<data_centre_id>(1, UINT16_MAX), any_endpoint(),
                        any_in<std::uint16_t>(1, 1024), any_state()};
    if (ids.insert(item.id).second) {
      generated.upstreams.push_back(item);
    }
  }
  return generated;
}

inline data_centre any_data_centre(std::string name) {
  data_centre generated;
  generated.name = std::move(name);
  generated.id = any_in<data_centre_id>(1, UINT16_MAX);
  generated.state = any_state();
  std::set<balancer_id> ids;
  for (auto remaining = any_in<int>(0, 4); remaining > 0; --remaining) {
    const balancer_entry item{any_in<balancer_id>(1, UINT32_MAX),
                              any_endpoint()};
    if (ids.insert(item.id).second) {
      generated.balancers.push_back(item);
    }
  }
  return generated;
}

inline document_value any_value(const std::string& name) {
  if (*rc::gen::arbitrary<bool>()) {
    return any_service(name);
  }
  return any_data_centre(name);
}

inline std::string key_of(const document_value& value) {
  return value.index() == 1
             ? service_key(std::get<service>(value).name)
             : data_centre_key(std::get<data_centre>(value).name);
}

}  // namespace rosemarydrum::test
