#include <boost/json/parse.hpp>
#include <csignal>

#include "fleet/rotation.h"
#include "io/addresses.h"
#include "rosemarydrum/address_text.h"
#include "soak/soak_fleet.h"

// The part of soak_fleet that starts, kills and checks the forwarder processes
// and tracks which of them the fabric has in rotation.
namespace rosemarydrum {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr milliseconds check_interval{500};
constexpr milliseconds check_deadline{400};
constexpr int misses_out_of_rotation = 2;
/// Offsets of a forwarder's other ports from its data port.
constexpr std::uint16_t ready_offset = 1;
constexpr std::uint16_t peer_offset = 2;
constexpr std::uint16_t metrics_offset = 3;

}  // namespace

void soak_fleet::start_forwarder(forwarder_process& node) {
  const auto at = [&](std::uint16_t offset) {
    return node.address + ":" + std::to_string(data_port_ + offset);
  };
  const auto store_at = from_asio(node.store->address());
  node.process = std::make_unique<child_process>(
      settings_.program,
      std::vector<std::string>{
          "--name=" + node.name, "--data-centre=" + node.data_centre,
          "--listen=" + at(0), "--ready-listen=" + at(ready_offset),
          "--peer-listen=" + at(peer_offset),
          "--metrics-listen=" + at(metrics_offset),
          "--store=" + to_string(store_at), "--stop-grace-s=4"});
  node.expected_to_run = true;
  node.paused = false;
  node.missed_checks = 0;
}

void soak_fleet::kill_forwarder(forwarder_process& node) {
  node.expected_to_run = false;
  node.process.reset();
}

void soak_fleet::check_ready(forwarder_process& node) {
  node.checks = std::make_shared<http_connection>(
      io_, asio::ip::tcp::endpoint(
               asio::ip::make_address_v4(node.address),
               static_cast<std::uint16_t>(data_port_ + ready_offset)));
  node.checks->call(
      {http::verb::get, "/v1/ready", {}, check_deadline},
      [&node](const http_answer& answer) {
        if (answer.status == 200) {
          node.in_rotation = true;
          node.missed_checks = 0;
        } else if (++node.missed_checks >= misses_out_of_rotation) {
          node.in_rotation = false;
        }
      });
  time.after(check_interval, [this, &node] { check_ready(node); });
}

soak_fleet::forwarder_process* soak_fleet::route_to(
    const std::string& data_centre, std::uint64_t hash) {
  std::vector<rotation_entry<forwarder_process>> entries;
  for (const auto& node : nodes) {
    entries.push_back({node.get(), node->data_centre, node->in_rotation});
  }
  return route_in_rotation(data_centres, data_centre, entries, hash);
}

void soak_fleet::check_processes() {
  for (const auto& node : nodes) {
    if (!node->process) {
      continue;
    }
    if (node->expected_to_run &&
        node->process->wait_exit(milliseconds(0)).has_value()) {
      checks.fail("EXIT", node->name + " ended by itself");
      node->expected_to_run = false;
    }
    for (const auto& line : node->process->lines()) {
      boost::system::error_code error;
      const auto value = boost::json::parse(line, error);
      if (error || !value.is_object()) {
        checks.fail("LOG", node->name + ": " + line);
        break;
      }
    }
  }
}

}  // namespace rosemarydrum
