#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace review {
namespace {

constexpr int clients = 8;
constexpr ms first_copy{200};
constexpr ms second_copy{600};
constexpr ms opening_limit{1400};
constexpr ms first_retransmission{200};
constexpr ms longest_retransmission{1600};
constexpr int most_retransmissions = 8;
constexpr ms check_interval{500};

std::uint32_t address_of(const std::string& text) {
  return asio::ip::make_address_v4(text).to_uint();
}

std::string text_of(std::uint32_t address) {
  return asio::ip::make_address_v4(address).to_string();
}

std::string text_of(const flow_key& key) {
  return text_of(key.client) + ":" + std::to_string(key.port) + ">" +
         text_of(key.route) + ":" + std::to_string(key.route_port);
}

}  // namespace

world::world(asio::io_context& io, std::string folder,
             const std::string& record)
    : io(io), store(io), folder_(std::move(folder)) {
  record_.open(record);
  network_ = 2 + getpid() % 250;
  const auto base = "127." + std::to_string(network_) + ".";
  asio::ip::udp::socket probe(io, {asio::ip::make_address_v4(base + "1.1"), 0});
  data_port_ = static_cast<std::uint16_t>(
      std::min<int>(probe.local_endpoint().port(), 60'000));
  probe.close();
  ready_port_ = data_port_ + 1;
  peer_port_ = data_port_ + 2;
  backend_port_ = data_port_ + 3;
  sender_ = std::make_unique<asio::ip::udp::socket>(
      io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
  for (int i = 1; i <= clients; ++i) {
    auto& each = client_sockets_.emplace_back();
    each.socket = std::make_unique<asio::ip::udp::socket>(
        io, asio::ip::udp::endpoint(
                asio::ip::make_address_v4(base + "3." + std::to_string(i)),
                data_port_));
    receive(each);
  }
}

world::~world() {
  ended_ = true;
  for (auto& each : nodes) {
    if (each.pid > 0) {
      kill(each.pid, SIGCONT);
      kill(each.pid, SIGKILL);
      waitpid(each.pid, nullptr, 0);
    }
  }
}

double world::now_s() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       began_)
      .count();
}

void world::record(const std::string& what) {
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f ", now_s());
  record_ << time << what << std::endl;
}

void world::fail(const std::string& rule, const std::string& what) {
  ++broken;
  record("BROKEN " + rule + ": " + what);
}

void world::after(std::chrono::microseconds delay, std::function<void()> run) {
  auto timer = std::make_shared<asio::steady_timer>(io, delay);
  timer->async_wait([this, timer, run = std::move(run)](auto error) {
    if (!error && !ended_) {
      run();
    }
  });
}

node& world::add_node(const std::string& zone) {
  auto& each = nodes.emplace_back();
  each.name = "edge-" + zone + "-" + std::to_string(nodes.size());
  each.zone = zone;
  each.ip =
      "127." + std::to_string(network_) + ".1." + std::to_string(nodes.size());
  return each;
}

backend& world::add_backend(const std::string& service,
                            const std::string& zone) {
  auto& each = backends.emplace_back();
  char digits[16];
  std::snprintf(digits, sizeof digits, "%08x", static_cast<unsigned>(random()));
  each.id = std::string("i-") + digits;
  each.key = std::stoull(digits, nullptr, 16);
  each.service = service;
  each.zone = zone;
  each.ip = "127." + std::to_string(network_) + ".2." +
            std::to_string(backends.size());
  each.socket = std::make_unique<asio::ip::udp::socket>(
      io, asio::ip::udp::endpoint(asio::ip::make_address_v4(each.ip),
                                  backend_port_));
  receive(each);
  return each;
}

std::uint32_t world::route_address(const std::string& service) const {
  const auto found = std::find(services.begin(), services.end(), service);
  return address_of("198.18.0.1") +
         static_cast<std::uint32_t>(found - services.begin());
}

void world::write_config() {
  json::array routes;
  json::array rows;
  for (const auto& each : services) {
    routes.push_back({{"Name", "r-" + each},
                      {"Host", text_of(route_address(each))},
                      {"Prefix", "/8443/"},
                      {"Type", route_type},
                      {"TimeoutMs", 1500},
                      {"SloMs", 300},
                      {"Priority", 2},
                      {"Service", each},
                      {"Attempts", 2}});
    rows.push_back({{"Name", each},
                    {"HealthPath", "/health"},
                    {"MaxConns", 2000},
                    {"Proto", "h1"},
                    {"Tls", false},
                    {"WarmupS", 2.0},
                    {"WarmupPerS", 5.0}});
  }
  const json::object config{{"Version", ++version},
                            {"Routes", routes},
                            {"Services", rows},
                            {"Limits",
                             {{"MaxHeaderBytes", 16384},
                              {"MaxBodyBytes", 262144},
                              {"HeaderTimeoutMs", 3000},
                              {"IdleTimeoutMs", 15000}}}};
  store.write("op/config", json::serialize(config));
}

void world::write_entry(const backend& each, int cold_ms) {
  store.write("servers/" + each.id,
              json::serialize(json::object{
                  {"Service", each.service},
                  {"Addr", each.ip + ":" + std::to_string(backend_port_)},
                  {"Zone", each.zone},
                  {"Version", "v1"},
                  {"Concurrency", backend_slots},
                  {"State", "ready"},
                  {"WarmupLeftMs", cold_ms},
                  {"Seq", 4},
                  {"born", 1'792'453'823'985 + each.incarnation}}));
}

void world::crash(backend& each) {
  record("crash of " + each.id);
  each.alive = false;
  each.disturbed = std::chrono::steady_clock::now();
  each.flows.clear();
  each.queue.clear();
  for (auto& [key, flow] : flows) {
    if (flow->owner == &each) {
      flow->owner = nullptr;
    }
  }
}

void world::restart(backend& each) {
  record("start of " + each.id);
  each.alive = true;
  ++each.incarnation;
  each.busy = 0;
  each.disturbed = std::chrono::steady_clock::now();
}

// Fills in deploy/forwarder.conf as DEPLOY.md describes it.
std::string world::settings_of(const node& each) const {
  std::ifstream file("deploy/forwarder.conf");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  const auto at = [&](std::uint16_t port) {
    return each.ip + ":" + std::to_string(port);
  };
  const auto begin = text.find("{{#Seeds}}");
  const auto end = text.find("{{/Seeds}}");
  const auto body = text.substr(begin + 10, end - begin - 10);
  std::string seeds;
  for (std::size_t i = 0; i < nodes.size() && i < 3; ++i) {
    auto line = body;
    line.replace(line.find("{{.}}"), 5,
                 nodes[i].ip + ":" + std::to_string(peer_port_));
    seeds += line;
  }
  text.replace(begin, end + 10 - begin, seeds);
  const std::map<std::string, std::string> fields{
      {"NodeName", each.name},
      {"Zone", each.zone},
      {"Ip", each.ip},
      {"Listen.DataAddr", at(data_port_)},
      {"Listen.Ready", at(ready_port_)},
      {"InternalPorts.0", std::to_string(peer_port_)},
      {"platform.Addr", "127.0.0.1:" + std::to_string(store.address().port())},
      {"Limits.CpuShare", "0.25"},
      {"Parameters.FlowMaxS", "60"},
      {"Parameters.ApplyMs", "3000"},
      {"Parameters.DrainMs", "3000"},
      {"Parameters.EvacMs", "5000"},
      {"Parameters.GraceS", "6"},
      {"Parameters.ColdOver", "1.5"},
      {"Parameters.ColdSlack", "5"}};
  for (const auto& [name, value] : fields) {
    const auto mark = "{{" + name + "}}";
    for (auto found = text.find(mark); found != std::string::npos;
         found = text.find(mark)) {
      text.replace(found, mark.size(), value);
    }
  }
  return text;
}

void world::start(node& each) {
  const auto file = folder_ + "/" + each.name + ".conf";
  std::ofstream(file) << settings_of(each);
  const auto log = folder_ + "/" + each.name + ".log";
  each.pid = fork();
  if (each.pid == 0) {
    // The process ends with this one, however this one ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    for (int i = 3; i < 1024; ++i) {
      ::close(i);
    }
    setenv("ROSEMARYDRUM_NODE_FILE", file.c_str(), 1);
    const char* program = "target/platform/rosemarydrum-forwarder";
    execl(program, program, nullptr);
    _exit(127);
  }
  each.stopping = false;
  each.disturbed = std::chrono::steady_clock::now();
  record("start " + each.name);
  if (each.misses == 0 && !each.ready) {
    check_ready(each);
  }
}

void world::send_signal(node& each, int signal) {
  record("signal " + std::to_string(signal) + " to " + each.name);
  kill(each.pid, signal);
  each.disturbed = std::chrono::steady_clock::now();
  each.stopping = each.stopping || signal == SIGTERM || signal == SIGKILL;
}

bool world::has_ended(node& each) {
  if (each.pid > 0 && waitpid(each.pid, nullptr, WNOHANG) == each.pid) {
    each.pid = 0;
  }
  return each.pid == 0;
}

bool world::is_in_touch(const node& each) const {
  return std::chrono::steady_clock::now() - each.disturbed >= stability;
}

// The platform asks each machine twice a second whether it is ready.
void world::check_ready(node& each) {
  auto stream = std::make_shared<boost::beast::tcp_stream>(io);
  auto response = std::make_shared<http::response<http::string_body>>();
  auto request = std::make_shared<http::request<http::empty_body>>(
      http::verb::get, "/v1/ready", 11);
  auto buffer = std::make_shared<boost::beast::flat_buffer>();
  request->set(http::field::host, each.ip);
  stream->expires_after(ms(400));
  auto done = [this, &each, stream, buffer, response, request](bool good) {
    on_checked(each, good);
  };
  stream->async_connect(
      {asio::ip::make_address_v4(each.ip), ready_port_}, [=](auto error) {
        if (error) {
          done(false);
          return;
        }
        http::async_write(*stream, *request, [=](auto error, std::size_t) {
          if (error) {
            done(false);
            return;
          }
          http::async_read(*stream, *buffer, *response,
                           [=](auto error, std::size_t) {
                             done(!error && response->result_int() == 200);
                           });
        });
      });
  after(check_interval, [this, &each] { check_ready(each); });
}

void world::on_checked(node& each, bool good) {
  each.misses = good ? 0 : each.misses + 1;
  const bool ready = good || (each.ready && each.misses < 2);
  if (ready != each.ready) {
    record(each.name + (ready ? " enters" : " leaves") + " the rotation");
  }
  each.ready = ready;
}

const node* world::node_at(const std::string& ip) const {
  for (const auto& each : nodes) {
    if (each.ip == ip) {
      return &each;
    }
  }
  return nullptr;
}

// Steady hashing: only the flows of a machine that joins or leaves move.
node* world::route(const std::string& zone, const flow_key& key) {
  std::vector<node*> all;
  std::vector<node*> ready;
  for (auto& each : nodes) {
    if (each.zone == zone) {
      all.push_back(&each);
      if (each.ready) {
        ready.push_back(&each);
      }
    }
  }
  auto& from = 2 * ready.size() < all.size() ? all : ready;
  node* best = nullptr;
  std::size_t best_weight = 0;
  for (auto* each : from) {
    const auto weight = std::hash<std::string>{}(each->name + text_of(key));
    if (best == nullptr || weight > best_weight) {
      best = each;
      best_weight = weight;
    }
  }
  return best;
}

void world::receive(client_socket& at) {
  at.socket->async_receive_from(
      asio::buffer(at.buffer), at.from, [this, &at](auto error, auto size) {
        if (!error) {
          if (const auto each = decode(at.buffer.data(), size)) {
            on_reset(*each, node_at(at.from.address().to_string()));
          }
          receive(at);
        }
      });
}

void world::receive(backend& at) {
  at.socket->async_receive_from(
      asio::buffer(at.buffer), at.from, [this, &at](auto error, auto size) {
        if (error) {
          return;
        }
        ++datagrams;
        const auto* through = node_at(at.from.address().to_string());
        const auto each =
            size < 8 ? std::nullopt : decode(at.buffer.data() + 8, size - 8);
        if (!each || each->sum != sum_of(*each)) {
          fail("UNASKED", "a packet that no client wrote so");
        } else if (loses(*each, through, at)) {
          ++lost;
        } else {
          const bool cross = through != nullptr && through->zone != at.zone;
          after(cross ? cross_zone_delay : in_zone_delay,
                [this, &at, each = *each, through,
                 intended = get(at.buffer.data(), 8)] {
                  to_backend(at, intended, each, through);
                });
        }
        receive(at);
      });
}

// ---- backends

void world::to_backend(backend& at, std::uint64_t intended, const packet& from,
                       const node* through) {
  if (!at.alive || (intended != 0 && intended != at.key)) {
    return;
  }
  const flow_key key{from.src, from.sport, from.dst, from.dport};
  packet reply;
  reply.src = key.route;
  reply.sport = key.route_port;
  reply.dst = key.client;
  reply.dport = key.port;
  reply.echo = from.echo;
  const auto found = at.flows.find(key);
  if (from.has(syn)) {
    if (!at.listening) {
      reply.flags = rst;
      to_client(at, reply);
      return;
    }
    auto& flow = at.flows[key];
    if (flow.open) {
      flow.echo = from.echo;
      return;
    }
    if (found == at.flows.end()) {
      flow.first = static_cast<std::uint32_t>(random());
      flow.sent = flow.acked = flow.pushed = flow.first + 1;
      flow.received = from.seq + 1;
      flow.opening_arrived = std::chrono::steady_clock::now();
      if (const auto client = flows.find(key); client != flows.end()) {
        flow.opening_sent = client->second->opening_sent;
      }
    }
    flow.echo = from.echo;
    after(at.handshake_time, [this, &at, key, reply]() mutable {
      const auto found = at.flows.find(key);
      if (!at.alive || found == at.flows.end() || found->second.open) {
        return;
      }
      reply.flags = syn | ack;
      reply.seq = found->second.first;
      reply.acked = found->second.received;
      reply.echo = found->second.echo;
      to_client(at, reply);
    });
    return;
  }
  const auto client = flows.find(key);
  if (client != flows.end() && client->second->owner != nullptr &&
      client->second->owner != &at) {
    client->second->wrong_packets +=
        " " + at.id + " through " + (through ? through->name : "?");
  }
  const bool is_other = found != at.flows.end() && !found->second.open &&
                        from.acked != found->second.first + 1;
  if (found == at.flows.end() || is_other) {
    if (from.has(rst)) {
      return;
    }
    reply.flags = from.has(fin) && from.data.empty() ? ack : rst;
    reply.seq = from.acked;
    reply.acked = from.seq + static_cast<std::uint32_t>(from.data.size());
    to_client(at, reply);
    return;
  }
  auto& flow = found->second;
  flow.echo = from.echo;
  if (from.has(rst)) {
    at.flows.erase(found);
    return;
  }
  if (!flow.open) {
    flow.open = true;
    on_opened(at, flow);
    if (client != flows.end()) {
      client->second->owner = &at;
      client->second->opened = std::chrono::steady_clock::now();
    }
  }
  const auto progress = from.acked - flow.acked;
  if (progress > 0 && progress <= flow.unacked.size()) {
    flow.unacked.erase(0, progress);
    flow.acked = from.acked;
    flow.tries = 0;
    push(at, key);
  }
  const auto size = static_cast<std::uint32_t>(from.data.size());
  reply.seq = flow.sent;
  if (size > 0 && from.seq == flow.received) {
    flow.received += size;
    const auto id = from.data.substr(0, from.data.find('\r'));
    if (!sent_ids.contains(id)) {
      fail("UNASKED", at.id + " got request " + id);
    }
    if (at.busy < backend_slots) {
      ++at.busy;
      ++runs[id];
      record("run " + id + " at " + at.id);
      if (runs[id] > 1) {
        record("request " + id + " has run " + std::to_string(runs[id]) +
               " times");
      }
      after(ms(work(id)), [this, &at, key, id, run = at.incarnation] {
        if (run != at.incarnation) {
          return;
        }
        answer(at, key, id, 200);
        --at.busy;
        run_next(at);
      });
    } else if (at.queue.size() < backend_queue) {
      at.queue.push_back({key, id});
    } else {
      answer(at, key, id, 503);
    }
  }
  if (size > 0 || from.has(fin)) {
    reply.flags = ack | (from.has(fin) ? fin : 0);
    reply.acked = flow.received + (from.has(fin) ? 1 : 0);
    to_client(at, reply);
  }
  if (from.has(fin)) {
    at.flows.erase(key);
  }
}

void world::run_next(backend& at) {
  if (at.queue.empty() || !at.alive) {
    return;
  }
  const auto job = at.queue.front();
  at.queue.pop_front();
  ++at.busy;
  ++runs[job.id];
  record("run " + job.id + " at " + at.id);
  after(ms(work(job.id)), [this, &at, job, run = at.incarnation] {
    if (run != at.incarnation) {
      return;
    }
    answer(at, job.key, job.id, 200);
    --at.busy;
    run_next(at);
  });
}

void world::answer(backend& at, const flow_key& key, const std::string& id,
                   int status) {
  const auto found = at.flows.find(key);
  if (!at.alive || found == at.flows.end()) {
    return;
  }
  auto text = id + " " + std::to_string(status) + " ";
  const auto size = status == 200 ? answer_bytes(id) : text.size() + 8;
  text += std::to_string(size) + "\r\n";
  text.resize(std::max(size, text.size()), 'x');
  auto& flow = found->second;
  flow.unacked += text;
  flow.sent += static_cast<std::uint32_t>(text.size());
  push(at, key);
}

// Sends what the client may be sent, at most 16 packets that it has not
// acknowledged.
void world::push(backend& at, const flow_key& key) {
  auto& flow = at.flows[key];
  const auto limit = std::min<std::size_t>(flow.unacked.size(), 16 * max_data);
  if (static_cast<std::int32_t>(flow.pushed - flow.acked) < 0) {
    flow.pushed = flow.acked;
  }
  while (flow.pushed - flow.acked < limit) {
    const auto size =
        std::min<std::size_t>(max_data, limit - (flow.pushed - flow.acked));
    send_data(at, key, flow.pushed, size);
    flow.pushed += static_cast<std::uint32_t>(size);
  }
  flow.timer = ++next_timer_;
  if (!flow.unacked.empty()) {
    push_again_later(at, key, flow.timer);
  }
}

void world::push_again_later(backend& at, const flow_key& key,
                             std::uint64_t timer) {
  const auto wait = std::min(first_retransmission * (1 << at.flows[key].tries),
                             longest_retransmission);
  after(wait, [this, &at, key, timer] {
    const auto found = at.flows.find(key);
    if (!at.alive || found == at.flows.end() || found->second.timer != timer ||
        ++found->second.tries > most_retransmissions) {
      return;
    }
    const auto left = found->second.unacked.size();
    send_data(at, key, found->second.acked, std::min(left, max_data));
    push_again_later(at, key, timer);
  });
}

void world::send_data(backend& at, const flow_key& key, std::uint32_t seq,
                      std::size_t size) {
  const auto& flow = at.flows[key];
  packet each;
  each.src = key.route;
  each.sport = key.route_port;
  each.dst = key.client;
  each.dport = key.port;
  each.flags = ack;
  each.echo = flow.echo;
  each.seq = seq;
  each.acked = flow.received;
  each.data = flow.unacked.substr(seq - flow.acked, size);
  to_client(at, each);
}

void world::to_client(backend& from, packet each) {
  each.sum = sum_of(each);
  const flow_key key{each.dst, each.dport, each.src, each.sport};
  ++datagrams;
  if (loses_answer(each, from)) {
    ++lost;
    return;
  }
  const auto found = flows.find(key);
  const bool cross = found != flows.end() && found->second->zone != from.zone;
  after(client_delay + (cross ? cross_zone_delay : in_zone_delay) +
            delays_answer(each, from),
        [this, key, each, &from] {
          const auto found = flows.find(key);
          if (found != flows.end()) {
            on_packet(*found->second, from, each);
          }
        });
}

// ---- clients

std::shared_ptr<client_flow> world::open_flow(
    const std::string& zone, const std::string& service,
    std::function<void(client_flow&)> on_open) {
  auto flow = std::make_shared<client_flow>();
  const auto port = next_port_++;
  if (next_port_ > 60'000) {
    next_port_ = 20'000;
  }
  flow->key = {address_of("127." + std::to_string(network_) + ".3." +
                          std::to_string(1 + port % clients)),
               port, route_address(service), 8443};
  flow->zone = zone;
  flow->first = static_cast<std::uint32_t>(random());
  flow->sent = flow->first + 1;
  flow->on_open = std::move(on_open);
  flows[flow->key] = flow;
  send_open(flow, 0);
  after(first_copy, [this, weak = std::weak_ptr(flow)] { send_open(weak, 1); });
  after(second_copy,
        [this, weak = std::weak_ptr(flow)] { send_open(weak, 2); });
  after(opening_limit, [this, weak = std::weak_ptr(flow)] {
    if (const auto flow = weak.lock(); flow && !flow->open && !flow->closed) {
      end(*flow, "not opened");
    }
  });
  return flow;
}

void world::send_open(const std::weak_ptr<client_flow>& weak,
                      std::uint32_t copy) {
  if (const auto flow = weak.lock(); flow && !flow->open && !flow->closed) {
    flow->opening_sent = std::chrono::steady_clock::now();
    send(*flow, syn, copy, "", flow->first);
  }
}

void world::send(client_flow& flow, std::uint8_t flags, std::uint32_t acked,
                 const std::string& data, std::uint32_t seq) {
  packet each;
  each.src = flow.key.client;
  each.sport = flow.key.port;
  each.dst = flow.key.route;
  each.dport = flow.key.route_port;
  each.flags = flags;
  each.seq = seq;
  each.acked = acked;
  each.echo = flow.echo;
  each.data = data;
  each.sum = sum_of(each);
  ++datagrams;
  after(client_delay,
        [this, datagram = encode(each), zone = flow.zone, key = flow.key] {
          if (auto* to = route(zone, key)) {
            if (const auto found = flows.find(key); found != flows.end()) {
              found->second->carriers.insert(to);
            }
            boost::system::error_code ignored;
            sender_->send_to(asio::buffer(datagram),
                             {asio::ip::make_address_v4(to->ip), data_port_}, 0,
                             ignored);
          }
        });
}

void world::request(
    const std::shared_ptr<client_flow>& flow, std::size_t size, bool idempotent,
    std::function<void(client_flow&, const std::string&)> done) {
  flow->request_id = "q" + std::to_string(++next_request_);
  flow->request = flow->request_id + "\r\n";
  flow->request.resize(std::max(size, flow->request.size()), 'y');
  flow->idempotent = idempotent;
  flow->answer.clear();
  flow->wanted = 0;
  flow->on_answer = std::move(done);
  flow->request_began = std::chrono::steady_clock::now();
  sent_ids.insert(flow->request_id);
  record("send " + flow->request_id + " on " + text_of(flow->key));
  send_request(flow, flow->request_id, first_retransmission);
  after(ms(8000), [this, weak = std::weak_ptr(flow), id = flow->request_id] {
    if (const auto flow = weak.lock();
        flow && !flow->closed && flow->request_id == id && flow->on_answer) {
      end(*flow, "deadline");
    }
  });
}

void world::send_request(const std::weak_ptr<client_flow>& weak,
                         const std::string& id, ms wait) {
  const auto flow = weak.lock();
  if (!flow || flow->closed || flow->request_id != id ||
      flow->request.empty()) {
    return;
  }
  send(*flow, ack, flow->received, flow->request, flow->sent);
  after(wait, [this, weak, id, wait] {
    send_request(weak, id, std::min(wait * 2, longest_retransmission));
  });
}

void world::close(const std::shared_ptr<client_flow>& flow) {
  if (!flow->closed) {
    send(*flow, fin | ack, flow->received, "", flow->sent);
    end(*flow, "closed");
  }
}

void world::end(client_flow& flow, const std::string& outcome) {
  if (flow.closed) {
    return;
  }
  flow.closed = true;
  const auto keep = flows[flow.key];
  after(ms(10), [this, key = flow.key, keep] { flows.erase(key); });
  if (outcome != "closed") {
    record("flow " + text_of(flow.key) + " ends: " + outcome +
           (flow.on_answer ? ", request " + flow.request_id : ""));
  }
  if (auto done = std::exchange(flow.on_answer, nullptr)) {
    done(flow, outcome);
  }
}

// A reset of the system's own.
void world::on_reset(const packet& from, const node* sender) {
  const flow_key key{from.dst, from.dport, from.src, from.sport};
  const auto found = flows.find(key);
  if (!from.has(rst) || !from.data.empty() || from.sum != 0) {
    fail("MIXED", "a client got a packet that is no reset");
    return;
  }
  if (found == flows.end() || found->second->closed) {
    return;
  }
  auto& flow = *found->second;
  const auto distance = from.seq - flow.received;
  if (flow.open && distance > reset_window && -distance > reset_window) {
    return;
  }
  flow.was_reset = true;
  if (flow.owner != nullptr) {
    const auto* through = route(flow.zone, key);
    const bool counts =
        flow.owner->alive &&
        std::chrono::steady_clock::now() - flow.owner->disturbed >= stability &&
        through != nullptr && is_in_touch(*through) && sender != nullptr &&
        is_in_touch(*sender);
    const auto what =
        "flow " + text_of(key) + " open at " + flow.owner->id +
        ", which lives, got a reset of " +
        (sender == nullptr ? "?" : sender->name) +
        (through == sender || through == nullptr
             ? ""
             : ", carried by " + through->name) +
        (flow.on_answer == nullptr ? ""
                                   : ", while " + flow.request_id + " runs");
    if (counts) {
      fail("FLOW", what);
    } else {
      record("not counted: " + what);
    }
  }
  end(flow, "reset by the system");
}

void world::on_packet(client_flow& flow, backend& from, const packet& each) {
  if (flow.closed) {
    return;
  }
  if (each.has(rst)) {
    if (flow.open && flow.owner != nullptr && flow.owner != &from) {
      const auto* through = route(flow.zone, flow.key);
      const bool counts =
          flow.owner->alive &&
          std::chrono::steady_clock::now() - flow.owner->disturbed >=
              stability &&
          through != nullptr && (is_in_touch(*through));
      const auto what = "flow " + text_of(flow.key) + " open at " +
                        flow.owner->id + " got a reset of " + from.id +
                        ", packets at others:" + flow.wrong_packets;
      if (counts) {
        fail("FLOW", what);
      } else {
        record("not counted: " + what);
      }
    }
    end(flow, "reset by " + from.id);
    return;
  }
  flow.echo = each.echo;
  if (each.has(syn)) {
    if (flow.open) {
      return;
    }
    flow.open = true;
    flow.received = each.seq + 1;
    flow.acked_by_server = each.acked;
    send(flow, ack, flow.received, "", flow.sent);
    if (flow.on_open) {
      flow.on_open(flow);
    }
    return;
  }
  if (!flow.request.empty() &&
      each.acked ==
          flow.sent + static_cast<std::uint32_t>(flow.request.size())) {
    flow.sent = each.acked;
    flow.request.clear();
  }
  if (!each.data.empty()) {
    take_data(flow, each);
  }
}

void world::take_data(client_flow& flow, const packet& each) {
  if (static_cast<std::int32_t>(each.seq - flow.received) > 0) {
    flow.early[each.seq] = each.data;
  } else if (each.seq == flow.received) {
    flow.received += static_cast<std::uint32_t>(each.data.size());
    flow.answer += each.data;
    for (auto next = flow.early.find(flow.received); next != flow.early.end();
         next = flow.early.find(flow.received)) {
      flow.received += static_cast<std::uint32_t>(next->second.size());
      flow.answer += next->second;
      flow.early.erase(next);
    }
  }
  if (flow.wanted == 0 && flow.answer.find('\r') != std::string::npos) {
    std::istringstream head(flow.answer);
    std::string id;
    int status = 0;
    head >> id >> status >> flow.wanted;
    if (id != flow.request_id) {
      fail("MIXED", "request " + flow.request_id + " got the answer of " + id);
    }
  }
  const bool whole = flow.wanted > 0 && flow.answer.size() >= flow.wanted;
  if (whole || each.seq != flow.received || ++flow.unacknowledged >= 2) {
    flow.unacknowledged = 0;
    send(flow, ack, flow.received, "", flow.sent);
  }
  if (whole) {
    flow.wanted = 0;
    flow.answer.clear();
    flow.early.clear();
    if (auto done = std::exchange(flow.on_answer, nullptr)) {
      record("answer " + flow.request_id);
      done(flow, "answered");
    }
  }
}

}  // namespace review
