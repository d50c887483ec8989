#include "soak/soak_fleet.h"

#include <unistd.h>

#include <csignal>

#include "fleet/test_packets.h"
#include "io/addresses.h"
#include "rosemarydrum/address_text.h"

namespace rosemarydrum {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr int request_work_ms = 40;
/// One in this many requests goes to the second route.
constexpr std::uint64_t second_route_share = 5;
const endpoint first_route{0xc6120001, 443};
const endpoint second_route{0xc6120002, 443};

/// Third byte of the loopback addresses of forwarders, upstreams and callers.
constexpr int forwarder_group = 1;
constexpr int upstream_group = 2;
constexpr int caller_group = 3;

/// Returns an address that differs between concurrent runs.
std::string loopback(int group, int number) {
  constexpr int networks = 250;
  static const int network = 2 + getpid() % networks;
  return "127." + std::to_string(network) + "." + std::to_string(group) + "." +
         std::to_string(number);
}

std::uint32_t caller_address(std::uint32_t number) {
  return *parse_ipv4(loopback(caller_group, 1)) + number;
}

}  // namespace

/// A socket that receives for an upstream or for callers.
struct soak_fleet::receiver {
  explicit receiver(udp::socket bound) : socket(std::move(bound)) {}

  udp::socket socket;
  fake_upstream* upstream = nullptr;
  bytes buffer = bytes(4096);
  udp::endpoint from;
};

soak_fleet::soak_fleet(asio::io_context& io, soak_settings settings)
    : time(io),
      random(settings.seed),
      io_(io),
      settings_(std::move(settings)),
      server_(io, store, time),
      data_port_(free_port()),
      upstream_port_(free_port()),
      sender_(io, udp::endpoint(asio::ip::address_v4::loopback(), 0)),
      load_random_(settings_.seed) {
  callers = std::make_unique<fake_callers>(
      time,
      fake_callers::callbacks{
          [this](const auto& centre, const auto& flow, const auto& datagram) {
            send_packet(centre, flow, datagram);
          }},
      caller_address(0));
  // Resets arrive at the callers' addresses on the forwarders' data port.
  for (std::uint32_t i = 0; i < caller_addresses; ++i) {
    receivers_.push_back(std::make_unique<receiver>(
        udp::socket(io, to_udp({caller_address(i), data_port_}))));
    receive(*receivers_.back());
  }
  for (int i = 0; i < settings_.data_centres; ++i) {
    data_centres.push_back("centre-" + std::to_string(i + 1));
  }
  configure();
  int number = 1;
  for (const auto& centre : data_centres) {
    for (int i = 0; i < settings_.upstreams_each; ++i) {
      add_upstream("desk", centre, 0);
    }
    add_upstream("vault", centre, 0);
    for (int i = 0; i < settings_.forwarders_each; ++i) {
      auto node = std::make_unique<forwarder_process>();
      node->name = "node-" + std::to_string(number);
      node->data_centre = centre;
      node->address = loopback(forwarder_group, number++);
      node->store = std::make_unique<fault_proxy>(io, time, server_.address());
      nodes.push_back(std::move(node));
    }
  }
  for (auto& node : nodes) {
    start_forwarder(*node);
    check_ready(*node);
  }
}

soak_fleet::~soak_fleet() = default;

std::uint16_t soak_fleet::free_port() {
  // The ports after it are used as well. They are free because no other
  // process uses the forwarders' addresses.
  const udp::socket probe(
      io_, udp::endpoint(
               asio::ip::make_address_v4(loopback(forwarder_group, 1)), 0));
  return static_cast<std::uint16_t>(
      std::min<int>(probe.local_endpoint().port(), 65'000));
}

void soak_fleet::send_packet(const std::string& data_centre,
                             const flow_ends& flow, const bytes& datagram) {
  checks.on_sent(datagram);
  if (auto* node = route_to(data_centre, std::hash<flow_ends>{}(flow))) {
    boost::system::error_code ignored;
    sender_.send_to(asio::buffer(datagram),
                    {asio::ip::make_address_v4(node->address), data_port_}, 0,
                    ignored);
  }
}

fake_upstream& soak_fleet::add_upstream(const std::string& service,
                                        const std::string& data_centre,
                                        int cold_ms) {
  const auto number = next_upstream_++;
  char digits[16];
  std::snprintf(digits, sizeof digits, "%010llx",
                static_cast<unsigned long long>(random() & 0xffffffffff));
  const auto address =
      loopback(upstream_group, number) + ":" + std::to_string(upstream_port_);
  auto& upstream = upstreams[digits];
  upstream = std::make_unique<fake_upstream>(
      digits, platform_texts::entry{.service = service,
                                    .address = address,
                                    .zone = data_centre,
                                    .cold_ms = cold_ms});
  upstream->processing_time = milliseconds(request_work_ms);
  receivers_.push_back(std::make_unique<receiver>(
      udp::socket(io_, to_udp(*parse_endpoint(address)))));
  receivers_.back()->upstream = upstream.get();
  receive(*receivers_.back());
  if (cold_ms > 0) {
    checks.on_cold(upstream->id, time.now() + milliseconds(cold_ms));
  }
  write_entry(*upstream);
  return *upstream;
}

void soak_fleet::restart_upstream(fake_upstream& upstream, int cold_ms) {
  checks.on_disturbed_upstream(upstream.id, time.now());
  checks.on_cold(upstream.id, time.now() + milliseconds(cold_ms));
  upstream.restart(cold_ms);
  write_entry(upstream);
}

void soak_fleet::write_entry(const fake_upstream& upstream) {
  store.put(platform_texts::upstream_key_of(upstream.id),
            platform_texts::text(upstream.entry));
}

void soak_fleet::configure() {
  ++version;
  std::vector<platform_texts::route_text> routes{
      {"r-1", "198.18.0.1", "/443/", first_service},
      {"r-2", "198.18.0.2", "/443/", second_service}};
  for (int i = 0; i < 30; ++i) {
    routes.push_back({"idle-" + std::to_string(i),
                      "198.18.1." + std::to_string(i), "/443/", "desk"});
  }
  checks.on_route(first_route, first_service, time.now());
  checks.on_route(second_route, second_service, time.now());
  store.put(platform_texts::configuration_key,
            platform_texts::configuration(version, routes));
}

void soak_fleet::receive(receiver& at) {
  at.socket.async_receive_from(
      asio::buffer(at.buffer), at.from,
      [this, &at](const boost::system::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          const bytes datagram(
              at.buffer.begin(),
              at.buffer.begin() + static_cast<std::ptrdiff_t>(size));
          if (at.upstream != nullptr) {
            on_upstream_datagram(*at.upstream, at.from.address().to_string(),
                                 datagram);
          } else {
            on_caller_datagram(datagram);
          }
        }
        receive(at);
      });
}

std::string soak_fleet::node_at(const std::string& address) const {
  for (const auto& node : nodes) {
    if (node->address == address) {
      return node->name;
    }
  }
  return address;
}

void soak_fleet::on_upstream_datagram(fake_upstream& upstream,
                                      const std::string& from,
                                      const bytes& datagram) {
  if (datagram.size() < codec_.headroom()) {
    checks.fail("UNASKED", "an upstream got a short datagram");
    return;
  }
  const auto inner = bytes_view(datagram).subspan(codec_.headroom());
  checks.on_received(inner);
  const auto packet = codec_.decode(inner);
  const bool is_intended =
      boost::endian::load_big_u64(datagram.data()) == upstream.key;
  const auto now = time.now();
  if (packet && is_intended && upstream.alive) {
    const auto owner = owners_.find(packet->flow);
    if (packet->opens) {
      checks.on_opening(upstream, node_at(from), packet->flow, now);
    } else if (owner != owners_.end()) {
      checks.on_packet(upstream, owner->second, packet->flow, now);
    }
  }
  for (const auto& each : upstream.take(datagram)) {
    time.after(each.delay, [this, each] {
      if (each.kind == answer_kind::handshake) {
        owners_.emplace(each.flow, each.upstream);
      }
      callers->on_answer(each);
    });
  }
}

void soak_fleet::on_caller_datagram(const bytes& datagram) {
  // The packet goes from the route to the caller, but flows are keyed by the
  // direction from the caller to the route.
  const auto packet = codec_.decode(datagram);
  if (!packet || !packet->resets) {
    checks.fail("MIXED", "a caller got a packet that is no reset");
    return;
  }
  const flow_ends flow{packet->flow.service, packet->flow.caller};
  const auto owner = owners_.find(flow);
  const bool is_open = owner != owners_.end() && callers->is_open(flow);
  checks.on_reset(flow, is_open ? owner->second : "", time.now());
  callers->on_reset(flow);
}

void soak_fleet::start_load() {
  loading_ = true;
  next_request();
}

void soak_fleet::next_request() {
  if (!loading_) {
    return;
  }
  const auto& centre = data_centres[load_random_() % data_centres.size()];
  callers->request(centre, load_random_() % second_route_share == 0
                               ? second_route
                               : first_route);
  std::exponential_distribution<double> gap(settings_.requests_per_second);
  time.after(duration(static_cast<duration::rep>(gap(load_random_) * 1e6)),
             [this] { next_request(); });
}

std::size_t soak_fleet::unserved(time_point from, time_point to) const {
  std::size_t count = 0;
  for (const auto& [number, outcome] : callers->outcomes) {
    count += outcome.began >= from && outcome.began < to && !outcome.served;
  }
  return count;
}

}  // namespace rosemarydrum
