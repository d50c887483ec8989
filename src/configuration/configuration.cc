#include "rosemarydrum/configuration/configuration.h"

#include <algorithm>
#include <utility>

namespace rosemarydrum {
namespace {

constexpr std::uint64_t index_key(const endpoint& address) {
  return std::uint64_t{address.address} << 16 | address.port;
}

}  // namespace

void configuration::put(service value) {
  const auto id = value.id;
  remove(id);
  // If two services have the same address, the lower id gets it regardless of
  // the order of arrival, so that all balancers choose the same one.
  auto [entry, inserted] =
      service_addresses.try_emplace(index_key(value.address), id);
  if (!inserted) {
    entry->second = std::min(entry->second, id);
  }
  services.insert_or_assign(id, std::move(value));
}

void configuration::put(data_centre value) {
  const auto id = value.id;
  data_centres.insert_or_assign(id, std::move(value));
}

void configuration::remove(service_id id) {
  const auto found = services.find(id);
  if (found == services.end()) {
    return;
  }
  const endpoint address = found->second.address;
  services.erase(found);
  const auto entry = service_addresses.find(index_key(address));
  if (entry == service_addresses.end() || entry->second != id) {
    return;
  }
  service_addresses.erase(entry);
  const auto other = std::find_if(
      services.begin(), services.end(),
      [&](const auto& item) { return item.second.address == address; });
  if (other != services.end()) {
    service_addresses.emplace(index_key(address), other->first);
  }
}

void configuration::remove(data_centre_id id) { data_centres.erase(id); }

const service* configuration::find_service(service_id id) const {
  const auto found = services.find(id);
  return found == services.end() ? nullptr : &found->second;
}

const service* configuration::find_service(const endpoint& address) const {
  if (const auto entry = service_addresses.find(index_key(address));
      entry != service_addresses.end()) {
    const service* indexed = find_service(entry->second);
    if (indexed != nullptr && indexed->address == address) {
      return indexed;
    }
  }
  if (service_addresses.size() == services.size()) {
    return nullptr;
  }
  const auto found = std::find_if(
      services.begin(), services.end(),
      [&](const auto& item) { return item.second.address == address; });
  return found == services.end() ? nullptr : &found->second;
}

const upstream* configuration::find_upstream(service_id service,
                                             upstream_id id) const {
  const auto* owner = find_service(service);
  if (owner == nullptr) {
    return nullptr;
  }
  const auto found =
      std::find_if(owner->upstreams.begin(), owner->upstreams.end(),
                   [id](const upstream& item) { return item.id == id; });
  return found == owner->upstreams.end() ? nullptr : &*found;
}

bool configuration::is_out(data_centre_id id) const {
  const auto found = data_centres.find(id);
  return found == data_centres.end() ||
         found->second.state == service_state::out;
}

}  // namespace rosemarydrum
