#include "store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>

#include "sockets.h"

namespace review {
namespace {

namespace json = boost::json;

constexpr std::size_t page_items = 500;

constexpr char digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& text) {
  std::string encoded;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t group = 0;
    const auto size = std::min<std::size_t>(3, text.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (j < size ? std::uint8_t(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      encoded += j <= size ? digits[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return encoded;
}

std::string from_base64(const std::string& text) {
  std::string decoded;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char each : text) {
    const auto* found = std::find(digits, digits + 64, each);
    if (found == digits + 64) {
      break;
    }
    group = group << 6 | static_cast<std::uint32_t>(found - digits);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      decoded += static_cast<char>(group >> bits & 255U);
    }
  }
  return decoded;
}

std::string from_percent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

}  // namespace

struct store::call {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::string body;

  std::string text(const std::string& name) const {
    const auto found = query.find(name);
    return found == query.end() ? "" : found->second;
  }
  std::uint64_t number(const std::string& name) const {
    return std::strtoull(text(name).c_str(), nullptr, 10);
  }
};

struct store::session {
  int fd = -1;
  std::string received;
  std::string to_send;
  bool waits = false;
  std::string prefix;
  std::uint64_t after = 0;
  std::uint64_t calls = 0;

  void answer(int status, const std::string& body) {
    waits = false;
    to_send += "HTTP/1.1 " + std::to_string(status) +
               " x\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    flush();
  }
  void flush() {
    const auto sent =
        send(fd, to_send.data(), to_send.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      to_send.erase(0, static_cast<std::size_t>(sent));
    }
  }
  /// Removes a whole request from the received bytes.
  bool take(call& wanted) {
    const auto head = received.find("\r\n\r\n");
    if (head == std::string::npos) {
      return false;
    }
    std::size_t size = 0;
    const auto length = received.find("Content-Length: ");
    if (length != std::string::npos && length < head) {
      size = std::strtoul(received.c_str() + length + 16, nullptr, 10);
    }
    if (received.size() < head + 4 + size) {
      return false;
    }
    const auto space = received.find(' ');
    const auto target =
        received.substr(space + 1, received.find(' ', space + 1) - space - 1);
    wanted.method = received.substr(0, space);
    wanted.body = received.substr(head + 4, size);
    const auto mark = target.find('?');
    wanted.path = target.substr(0, mark);
    for (auto at = mark; at != std::string::npos; at = target.find('&', at)) {
      ++at;
      const auto pair = target.substr(at, target.find('&', at) - at);
      const auto equals = pair.find('=');
      wanted.query[pair.substr(0, equals)] =
          from_percent(pair.substr(equals + 1));
    }
    received.erase(0, head + 4 + size);
    return true;
  }
};

store::store(event_loop& loop, std::uint32_t ip, std::uint16_t port)
    : loop_(loop), listener_(require_socket(SOCK_STREAM, ip, port)) {
  listen(listener_, 64);
  loop_.on_readable(listener_, [this] { accept(); });
  loop_.every(milliseconds(20), [this] {
    end_leases();
    for (const auto& each : sessions_) {
      if (!each->to_send.empty()) {
        each->flush();
      }
    }
    std::erase_if(sessions_, [](const auto& each) { return each->fd < 0; });
  });
}

void store::accept() {
  const int fd =
      accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    return;
  }
  auto on = std::make_shared<session>();
  on->fd = fd;
  sessions_.push_back(on);
  loop_.on_readable(fd, [this, on] {
    char buffer[65536];
    const auto size = recv(on->fd, buffer, sizeof buffer, 0);
    if (size <= 0) {
      if (size == 0 || errno != EAGAIN) {
        loop_.forget(on->fd);
        close(on->fd);
        on->fd = -1;
      }
      return;
    }
    on->received.append(buffer, static_cast<std::size_t>(size));
    for (call wanted; on->fd >= 0 && on->take(wanted); wanted = {}) {
      ++on->calls;
      handle(on, wanted);
    }
  });
}

void store::go_down() {
  down_ = true;
  for (const auto& each : sessions_) {
    if (each->fd >= 0 && each->waits) {
      each->answer(503, "{}");
    }
  }
  for (auto& [id, each] : leases_) {
    each.ends = clock::now();
  }
}

void store::handle(const std::shared_ptr<session>& on, const call& wanted) {
  if (down_) {
    on->answer(503, "{}");
    return;
  }
  const auto last = wanted.path.substr(wanted.path.rfind('/') + 1);
  const auto id = std::strtoull(last.c_str(), nullptr, 10);
  if (wanted.path == "/v1/kv-range") {
    on->answer(200, range(wanted));
  } else if (wanted.path == "/v1/kv-key") {
    const auto lag =
        wanted.number("AllowStale") == 1 ? stale_lag : milliseconds(0);
    const auto items = items_at(clock::now() - lag);
    const auto found = items.find(wanted.text("Key"));
    if (found == items.end()) {
      on->answer(404, "{\"CurrentRev\":" + std::to_string(revision_) + "}");
      return;
    }
    on->answer(200, json::serialize(
                        json::object{{"Key", found->first},
                                     {"Value", to_base64(found->second.value)},
                                     {"Rev", found->second.changed},
                                     {"CreateRevision", found->second.created},
                                     {"Lease", found->second.lease},
                                     {"CurrentRev", revision_}}));
  } else if (wanted.path == "/v1/kv-watch") {
    const auto prefix = wanted.text("Prefix");
    const auto after = wanted.number("after");
    if (has_events(prefix, after)) {
      on->answer(200, events_after(prefix, after));
      return;
    }
    on->waits = true;
    on->prefix = prefix;
    on->after = after;
    loop_.after(milliseconds(wanted.number("WaitMs")),
                [this, on, number = on->calls] {
                  if (on->waits && on->calls == number && on->fd >= 0) {
                    on->answer(200, events_after(on->prefix, on->after));
                  }
                });
  } else if (wanted.path == "/v1/kv-txn") {
    std::string body;
    const int status = transact(wanted.body, body);
    on->answer(status, body);
  } else if (wanted.path == "/v1/kv-lease") {
    const auto asked = json::parse(wanted.body);
    const auto ttl = milliseconds(asked.at("TtlMs").to_number<std::int64_t>());
    const auto number = ++next_lease_;
    leases_[number] = {ttl, clock::now() + ttl};
    on->answer(200, json::serialize(json::object{{"Lease", number},
                                                 {"TtlMs", ttl.count()}}));
  } else if (wanted.path.starts_with("/v1/kv-keep/")) {
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
      on->answer(404, "{}");
      return;
    }
    found->second.ends = clock::now() + found->second.time_to_live;
    on->answer(200, json::serialize(json::object{
                        {"TtlMs", found->second.time_to_live.count()}}));
  } else if (wanted.path.starts_with("/v1/kv-lease-end/")) {
    if (const auto found = leases_.find(id); found != leases_.end()) {
      found->second.ends = clock::now();
    }
    on->answer(200, "{}");
  } else {
    on->answer(404, "{}");
  }
}

std::map<std::string, store::item> store::items_at(time_point when) const {
  auto items = items_;
  // Undoes the changes since `when`, newest first.
  std::map<std::string, item> before;
  for (const auto& each : history_) {
    if (each.at <= when) {
      if (each.removed) {
        before.erase(each.key);
      } else {
        before[each.key] = each.now;
      }
    }
  }
  for (const auto& each : history_) {
    if (each.at > when) {
      if (const auto old = before.find(each.key); old != before.end()) {
        items[each.key] = old->second;
      } else {
        items.erase(each.key);
      }
    }
  }
  return items;
}

std::string store::range(const call& wanted) const {
  const auto lag =
      wanted.number("AllowStale") == 1 ? stale_lag : milliseconds(0);
  const auto prefix = wanted.text("Prefix");
  const auto after = wanted.text("after");
  json::array items;
  bool more = false;
  for (const auto& [key, each] : items_at(clock::now() - lag)) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (items.size() == page_items) {
      more = true;
      break;
    }
    items.push_back(json::object{{"Key", key},
                                 {"Value", to_base64(each.value)},
                                 {"Rev", each.changed},
                                 {"CreateRevision", each.created},
                                 {"Lease", each.lease}});
  }
  return json::serialize(json::object{{"items", std::move(items)},
                                      {"MorePages", more},
                                      {"CurrentRev", revision_}});
}

bool store::has_events(const std::string& prefix, std::uint64_t after) const {
  return std::any_of(history_.begin(), history_.end(), [&](const auto& each) {
    return each.now.changed > after && each.key.starts_with(prefix);
  });
}

std::string store::events_after(const std::string& prefix,
                                std::uint64_t after) const {
  json::array events;
  for (const auto& each : history_) {
    if (each.now.changed <= after || !each.key.starts_with(prefix)) {
      continue;
    }
    if (each.removed) {
      events.push_back(json::object{
          {"Key", each.key}, {"Rev", each.now.changed}, {"Removed", true}});
    } else {
      events.push_back(json::object{{"Key", each.key},
                                    {"Value", to_base64(each.now.value)},
                                    {"Rev", each.now.changed},
                                    {"CreateRevision", each.now.created},
                                    {"Lease", each.now.lease}});
    }
  }
  return json::serialize(
      json::object{{"events", std::move(events)}, {"CurrentRev", revision_}});
}

int store::transact(const std::string& body, std::string& answer) {
  const auto wanted = json::parse(body);
  json::array current;
  bool holds = true;
  for (const auto& row : wanted.at("Expect").as_array()) {
    const auto found = items_.find(std::string(row.at("Key").as_string()));
    const auto at = found == items_.end() ? 0 : found->second.changed;
    holds = holds && at == row.at("Rev").to_number<std::uint64_t>();
    if (found != items_.end()) {
      current.push_back(json::object{{"Key", found->first},
                                     {"Value", to_base64(found->second.value)},
                                     {"Rev", at}});
    }
  }
  if (!holds) {
    answer = json::serialize(json::object{{"items", std::move(current)}});
    return 412;
  }
  for (const auto& row : wanted.at("Put").as_array()) {
    const auto lease = row.at("Lease").to_number<std::uint64_t>();
    if (lease != 0 && !leases_.contains(lease)) {
      answer = "{}";
      return 404;
    }
  }
  for (const auto& row : wanted.at("Put").as_array()) {
    put(std::string(row.at("Key").as_string()),
        from_base64(std::string(row.at("Value").as_string())),
        row.at("Lease").to_number<std::uint64_t>());
  }
  for (const auto& key : wanted.at("Delete").as_array()) {
    remove(std::string(key.as_string()));
  }
  answer = "{\"Rev\":" + std::to_string(revision_) + "}";
  return 200;
}

std::uint64_t store::put(const std::string& key, const std::string& value,
                         std::uint64_t lease) {
  auto& written = items_[key];
  written.value = value;
  written.changed = ++revision_;
  written.created = written.created == 0 ? revision_ : written.created;
  written.lease = lease;
  history_.push_back({key, written, false, clock::now()});
  notify();
  return revision_;
}

void store::remove(const std::string& key) {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return;
  }
  item last = found->second;
  last.changed = ++revision_;
  items_.erase(found);
  history_.push_back({key, last, true, clock::now()});
  notify();
}

void store::notify() {
  for (const auto& each : sessions_) {
    if (each->fd >= 0 && each->waits && has_events(each->prefix, each->after)) {
      each->answer(200, events_after(each->prefix, each->after));
    }
  }
}

void store::end_leases() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.ends > clock::now()) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, each] : items_) {
      if (each.lease == it->first) {
        keys.push_back(key);
      }
    }
    it = leases_.erase(it);
    for (const auto& key : keys) {
      remove(key);
    }
  }
}

}  // namespace review
