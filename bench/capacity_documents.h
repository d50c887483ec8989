#pragma once

#include <string>
#include <vector>

#include "rosemarydrum/configuration/config_codec.h"

namespace rosemarydrum::bench {

inline constexpr data_centre_id home{1};
inline constexpr int usual_upstreams = 14;

inline endpoint balancer_address(std::uint32_t id) {
  return {0x7f000001, static_cast<std::uint16_t>(20'000 + id)};
}

/// Returns service `number` (from 1) with `upstreams` of 4 slots and one
/// approval.
inline service make_service(std::uint32_t number, int upstreams) {
  service made;
  made.id = service_id(number);
  made.name = "service-" + std::to_string(number);
  made.owner = "owner";
  made.address = {0x0a000000 + number, 80};
  made.approvals.push_back({.caller = caller_id(1),
                            .team = "callers",
                            .source = {0xc0a80000, 16},
                            .requests_per_second = 10'000'000});
  for (int i = 0; i < upstreams; ++i) {
    const auto id = static_cast<std::uint32_t>((number - 1) * upstreams + i);
    made.upstreams.push_back(
        {upstream_id(id + 1), home, {0x0b000000 + id, 80}, 4});
  }
  return made;
}

inline document service_document(std::uint32_t number, int upstreams,
                                 std::uint64_t changed) {
  const service made = make_service(number, upstreams);
  const std::string operations[] = {"operation-" + std::to_string(changed)};
  return {service_key(made.name), encode_document(made, operations),
          revision(changed)};
}

/// Returns data centre `id` with balancers `first` to `first + members - 1`.
inline document data_centre_document(data_centre_id id, std::uint32_t first,
                                     std::uint32_t members,
                                     std::uint64_t changed) {
  data_centre made;
  made.id = id;
  made.name = "centre-" + std::to_string(value_of(id));
  for (std::uint32_t i = first; i < first + members; ++i) {
    made.balancers.push_back({balancer_id(i), balancer_address(i)});
  }
  return {data_centre_key(made.name), encode_document(made, {}),
          revision(changed)};
}

/// The own data centre and `services` services, by revision.
inline std::vector<document> make_documents(std::uint32_t members,
                                            std::uint32_t services) {
  std::vector<document> made{data_centre_document(home, 1, members, 1)};
  for (std::uint32_t i = 1; i <= services; ++i) {
    made.push_back(service_document(i, usual_upstreams, 1 + i));
  }
  return made;
}

}  // namespace rosemarydrum::bench
