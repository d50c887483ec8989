#include "nodes.h"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "sockets.h"

namespace review {
namespace {

constexpr milliseconds probe_interval{500};
constexpr milliseconds probe_timeout{450};
constexpr milliseconds restart_delay{400};
constexpr milliseconds stop_grace{6000};
constexpr int probes_to_leave = 2;

std::string file_text(const std::string& name) {
  std::ifstream stream(name);
  if (!stream) {
    throw std::runtime_error("cannot read " + name);
  }
  return {std::istreambuf_iterator<char>(stream), {}};
}

void replace_all(std::string& text, const std::string& from,
                 const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

/// The value of `key = "VALUE"` in the deploy file.
std::string deploy_value(const std::string& deploy, const std::string& key) {
  const auto begin = deploy.find("\n" + key + " = \"");
  if (begin == std::string::npos) {
    throw std::runtime_error("the deploy file has no " + key);
  }
  const auto value = deploy.find('"', begin) + 1;
  return deploy.substr(value, deploy.find('"', value) - value);
}

std::uint64_t mixed(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

machines::machines(event_loop& loop, deployment_ports ports, std::string folder)
    : loop_(loop), ports_(ports), folder_(std::move(folder)) {
  const auto deploy = file_text("deploy/system.toml");
  program_ = deploy_value(deploy, "run");
  template_ = file_text(deploy_value(deploy, "template"));
  loop_.every(milliseconds(50), [this] { reap(); });
}

machines::~machines() {
  for (const auto& each : nodes_) {
    if (each->pid > 0) {
      kill(each->pid, SIGKILL);
      waitpid(each->pid, nullptr, 0);
    }
  }
}

node& machines::add(const std::string& zone, const std::string& ip) {
  auto& added = *nodes_.emplace_back(std::make_unique<node>());
  added.zone = zone;
  added.ip = ip_of(ip);
  int number = 0;
  for (const auto& each : nodes_) {
    number += each->zone == zone ? 1 : 0;
  }
  added.name = "edge-" + zone + "-" + std::to_string(number);
  const auto offset = milliseconds(53 * nodes_.size() % 500);
  loop_.after(offset, [this, &added] {
    probe(added);
    loop_.every(probe_interval, [this, &added] { probe(added); });
  });
  return added;
}

std::string machines::settings_of(const node& which) const {
  auto text = template_;
  const auto ip = ip_text(which.ip);
  const auto with = [&ip](std::uint16_t port) {
    return ip + ":" + std::to_string(port);
  };
  const std::string begin = "{{#Seeds}}";
  const std::string end = "{{/Seeds}}";
  if (const auto from = text.find(begin); from != std::string::npos) {
    const auto to = text.find(end);
    const auto body =
        text.substr(from + begin.size(), to - from - begin.size());
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, nodes_.size()); ++i) {
      auto one = body;
      replace_all(
          one, "{{.}}",
          ip_text(nodes_[i]->ip) + ":" + std::to_string(ports_.control));
      seeds += one;
    }
    text.replace(from, to + end.size() - from, seeds);
  }
  // The port of the metrics is free on the machines; here it may be in use.
  replace_all(text, "{{Ip}}:9464", with(ports_.metrics));
  const std::vector<std::pair<std::string, std::string>> fields{
      {"NodeName", which.name},
      {"Zone", which.zone},
      {"Ip", ip},
      {"Listen.DataAddr", with(ports_.data)},
      {"Listen.Ready", with(ports_.ready)},
      {"Listen.Control", with(ports_.control)},
      {"InternalPorts.0", std::to_string(ports_.internal)},
      {"platform.Addr", "127.0.0.1:" + std::to_string(ports_.store)},
      {"Limits.CpuShare", "0.25"},
      {"Parameters.FlowMaxS", "60"},
      {"Parameters.ApplyMs", "3000"},
      {"Parameters.DrainMs", "3000"},
      {"Parameters.EvacMs", "5000"},
      {"Parameters.GraceS", "6"},
      {"Parameters.ColdOver", "1.5"},
      {"Parameters.ColdSlack", "5"}};
  for (const auto& [name, value] : fields) {
    replace_all(text, "{{" + name + "}}", value);
  }
  return text;
}

void machines::start(node& which) {
  const auto file = folder_ + "/" + which.name + ".conf";
  std::ofstream(file) << settings_of(which);
  const auto log = folder_ + "/" + which.name + ".log";
  const auto variable = "ROSEMARYDRUM_NODE_FILE=" + file;
  const auto parent = getpid();
  const int pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    const int out =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    const std::string path = "PATH=/usr/bin:/bin";
    char* const environment[] = {const_cast<char*>(variable.c_str()),
                                 const_cast<char*>(path.c_str()), nullptr};
    char* const words[] = {const_cast<char*>(program_.c_str()), nullptr};
    execve(program_.c_str(), words, environment);
    _exit(127);
  }
  which.pid = pid;
  ++which.starts;
}

void machines::send_signal(const node& which, int number) {
  if (which.pid > 0) {
    signalled_[which.pid] = true;
    kill(which.pid, number);
  }
}

void machines::terminate(node& which) {
  send_signal(which, SIGTERM);
  loop_.after(stop_grace, [&which, pid = which.pid] {
    if (which.pid == pid) {
      kill(pid, SIGKILL);
    }
  });
}

void machines::reap() {
  for (const auto& each : nodes_) {
    if (each->pid <= 0 || waitpid(each->pid, nullptr, WNOHANG) != each->pid) {
      continue;
    }
    own_ends += signalled_[each->pid] ? 0 : 1;
    each->pid = -1;
    if (each->restarts) {
      loop_.after(restart_delay, [this, which = each.get()] {
        if (which->pid < 0 && which->restarts) {
          start(*which);
        }
      });
    }
  }
}

void machines::probe(node& which) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto address = socket_address(which.ip, ports_.ready);
  // The result shows when the socket becomes writable.
  static_cast<void>(
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address));
  auto done = std::make_shared<bool>(false);
  const auto finish = [this, fd, done, &which](bool ready) {
    if (!std::exchange(*done, true)) {
      loop_.forget(fd);
      close(fd);
      on_probe(which, ready);
    }
  };
  loop_.after(probe_timeout, [finish] { finish(false); });
  loop_.on_writable(fd, [this, fd, finish] {
    const std::string text = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
    if (send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
      finish(false);
      return;
    }
    loop_.on_readable(fd, [fd, finish] {
      char buffer[512];
      const auto size = recv(fd, buffer, sizeof buffer, 0);
      finish(size > 12 && std::string(buffer + 9, 3) == "200");
    });
  });
}

void machines::on_probe(node& which, bool ready) {
  which.missed_probes = ready ? 0 : which.missed_probes + 1;
  if (ready) {
    which.in_rotation = true;
  } else if (which.missed_probes >= probes_to_leave) {
    which.in_rotation = false;
  }
}

node* machines::route(const std::string& zone, std::uint64_t flow) const {
  std::vector<node*> of_zone;
  std::vector<node*> candidates;
  std::vector<node*> elsewhere;
  for (const auto& each : nodes_) {
    if (each->zone == zone) {
      of_zone.push_back(each.get());
    }
    if (each->in_rotation) {
      (each->zone == zone ? candidates : elsewhere).push_back(each.get());
    }
  }
  if (candidates.empty()) {
    candidates = elsewhere;
  } else if (2 * candidates.size() < of_zone.size()) {
    candidates = of_zone;
  }
  const auto weight = [flow](const node* each) {
    return mixed(flow ^ mixed(each->ip));
  };
  const auto best =
      std::max_element(candidates.begin(), candidates.end(),
                       [&](auto* a, auto* b) { return weight(a) < weight(b); });
  return best == candidates.end() ? nullptr : *best;
}

bool machines::all_in_rotation() const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [](const auto& each) { return each->in_rotation; });
}

node* machines::at(std::uint32_t ip) {
  for (const auto& each : nodes_) {
    if (each->ip == ip) {
      return each.get();
    }
  }
  return nullptr;
}

}  // namespace review
