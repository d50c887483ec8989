#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string>
#include <vector>

#include "rosemarydrum/types.h"

/// Keys and values that operators and upstreams write to the platform's store.
namespace rosemarydrum::platform_texts {

inline const std::string configuration_key = "op/config";

inline std::string upstream_key_of(const std::string& id) {
  return "servers/" + id;
}
inline std::string evacuation_key(const std::string& zone) {
  return "op/evacuate/" + zone;
}

struct entry {
  std::string service = "desk";
  std::string address = "10.1.64.1:8080";
  std::string zone = "north";
  int slots = 4;
  std::string state = "ready";
  int cold_ms = 0;
  std::int64_t born = 1'700'000'000'000;
  std::int64_t seq = 1;
};

inline std::string text(const entry& from) {
  return boost::json::serialize(
      boost::json::object{{"Service", from.service},
                          {"Addr", from.address},
                          {"Zone", from.zone},
                          {"Version", "v1"},
                          {"Concurrency", from.slots},
                          {"State", from.state},
                          {"WarmupLeftMs", from.cold_ms},
                          {"Seq", from.seq},
                          {"born", from.born}});
}

struct route_text {
  std::string name = "r-desk";
  std::string host = "198.18.0.1";
  std::string prefix = "/443/";
  std::string service = "desk";
  std::string type = "idempotent";
};

inline std::string configuration(std::int64_t version,
                                 const std::vector<route_text>& routes) {
  boost::json::array route_rows;
  for (const auto& each : routes) {
    route_rows.push_back(boost::json::object{{"Name", each.name},
                                             {"Host", each.host},
                                             {"Prefix", each.prefix},
                                             {"Type", each.type},
                                             {"TimeoutMs", 1500},
                                             {"SloMs", 300},
                                             {"Priority", 2},
                                             {"Service", each.service},
                                             {"Attempts", 2}});
  }
  boost::json::array services;
  for (const auto* name : {"desk", "vault"}) {
    services.push_back(boost::json::object{{"Name", name},
                                           {"HealthPath", "/health"},
                                           {"MaxConns", 2000},
                                           {"Proto", "h1"},
                                           {"Tls", false},
                                           {"WarmupS", 2.0},
                                           {"WarmupPerS", 0.0}});
  }
  return boost::json::serialize(
      boost::json::object{{"Version", version},
                          {"Routes", std::move(route_rows)},
                          {"Services", std::move(services)},
                          {"Limits", {{"IdleTimeoutMs", 15000}}}});
}

}  // namespace rosemarydrum::platform_texts
