#include "store.h"

#include <string_view>

namespace review {
namespace {

constexpr std::size_t page_items = 500;
constexpr std::chrono::milliseconds answer_time{4};

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string base64(const std::string& from) {
  std::string to;
  for (std::size_t i = 0; i < from.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group =
          group << 8 |
          (i + k < from.size() ? static_cast<std::uint8_t>(from[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      to += i + k > from.size() ? '=' : alphabet[group >> (18 - 6 * k) & 63];
    }
  }
  return to;
}

std::string from_base64(const std::string& from) {
  std::string to;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char each : from) {
    const auto digit = alphabet.find(each);
    if (digit == std::string_view::npos) {
      break;
    }
    group = group << 6 | static_cast<std::uint32_t>(digit);
    if ((bits += 6) >= 8) {
      bits -= 8;
      to += static_cast<char>(group >> bits & 255);
    }
  }
  return to;
}

std::string unescape(const std::string& from) {
  std::string to;
  for (std::size_t i = 0; i < from.size(); ++i) {
    if (from[i] == '%' && i + 2 < from.size()) {
      to += static_cast<char>(std::stoi(from.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      to += from[i];
    }
  }
  return to;
}

std::uint64_t number(const std::map<std::string, std::string>& query,
                     const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() || found->second.empty()
             ? 0
             : std::stoull(found->second);
}

std::string text(const std::map<std::string, std::string>& query,
                 const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

}  // namespace

struct store::session : std::enable_shared_from_this<session> {
  session(store& owner, asio::ip::tcp::socket socket)
      : owner(owner), socket(std::move(socket)), timer(owner.io_) {}

  void read() {
    request = {};
    http::async_read(socket, buffer, request,
                     [self = shared_from_this()](auto error, std::size_t) {
                       if (!error) {
                         self->handle();
                       }
                     });
  }

  void handle() {
    const std::string target(request.target());
    const auto mark = target.find('?');
    const auto path = target.substr(0, mark);
    std::map<std::string, std::string> query;
    auto rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
      const auto end = rest.find('&');
      const auto pair = rest.substr(0, end);
      const auto equals = pair.find('=');
      query[pair.substr(0, equals)] =
          equals == std::string::npos ? "" : unescape(pair.substr(equals + 1));
      rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    const auto reply = [self = shared_from_this()](const answer& given) {
      self->timer.expires_after(answer_time);
      self->timer.async_wait([self, given](auto) { self->write(given); });
    };
    if (owner.busy) {
      reply({503, {}});
    } else if (path == "/v1/kv-watch") {
      owner.watch(query, reply);
    } else {
      reply(owner.run(std::string(request.method_string()), path, query,
                      request.body()));
    }
  }

  void write(const answer& given) {
    response = {static_cast<http::status>(given.status), 11};
    response.set(http::field::content_type, "application/json");
    response.body() = json::serialize(given.body);
    response.prepare_payload();
    http::async_write(socket, response,
                      [self = shared_from_this()](auto error, std::size_t) {
                        if (!error) {
                          self->read();
                        }
                      });
  }

  store& owner;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

void store::accept() {
  acceptor_.async_accept([this](auto error, asio::ip::tcp::socket socket) {
    if (!error) {
      std::make_shared<session>(*this, std::move(socket))->read();
      accept();
    }
  });
}

namespace {

template <typename Item>
json::object row(const std::string& key, const Item& from) {
  return {{"Key", key},
          {"Value", base64(from.value)},
          {"Rev", from.changed},
          {"CreateRevision", from.created},
          {"Lease", from.lease}};
}

}  // namespace

std::uint64_t store::write(const std::string& key, const std::string& value,
                           std::uint64_t lease) {
  auto& known = items_[key];
  known.changed = ++at_;
  known.created = known.created == 0 ? at_ : known.created;
  known.value = value;
  known.lease = lease;
  record({at_, key, false, known});
  return at_;
}

std::uint64_t store::remove(const std::string& key) {
  if (items_.erase(key) > 0) {
    record({++at_, key, true, {}});
  }
  return at_;
}

void store::record(event each) {
  history_.push_back(std::move(each));
  auto waiting = std::exchange(watchers_, {});
  for (auto& watcher : waiting) {
    if (history_.back().key.starts_with(watcher.prefix)) {
      watcher.reply(events_after(watcher.prefix, watcher.after));
    } else {
      watchers_.push_back(std::move(watcher));
    }
  }
}

store::answer store::events_after(const std::string& prefix,
                                  std::uint64_t after) const {
  json::array events;
  for (const auto& each : history_) {
    if (each.at > after && each.key.starts_with(prefix)) {
      events.push_back(each.removed ? json::object{{"Key", each.key},
                                                   {"Rev", each.at},
                                                   {"Removed", true}}
                                    : row(each.key, each.written));
    }
  }
  return {200, {{"events", std::move(events)}, {"CurrentRev", at_}}};
}

void store::watch(const std::map<std::string, std::string>& query,
                  const std::function<void(const answer&)>& reply) {
  const auto prefix = text(query, "Prefix");
  const auto after = number(query, "after");
  auto now = events_after(prefix, after);
  if (!now.body["events"].as_array().empty()) {
    reply(now);
    return;
  }
  auto done = std::make_shared<bool>(false);
  const auto once = [done, reply](const answer& given) {
    if (!std::exchange(*done, true)) {
      reply(given);
    }
  };
  watchers_.push_back({prefix, after, once});
  auto timer = std::make_shared<asio::steady_timer>(
      io_, std::chrono::milliseconds(number(query, "WaitMs")));
  timer->async_wait([this, timer, once](auto) {
    once({200, {{"events", json::array()}, {"CurrentRev", at_}}});
  });
}

store::answer store::run(const std::string& method, const std::string& path,
                         const std::map<std::string, std::string>& query,
                         const std::string& body) {
  if (path == "/v1/kv-key") {
    const auto key = text(query, "Key");
    const auto found = items_.find(key);
    if (found == items_.end()) {
      return {404, {{"CurrentRev", at_}}};
    }
    auto given = row(key, found->second);
    given["CurrentRev"] = at_;
    return {200, given};
  }
  if (path == "/v1/kv-range") {
    const auto prefix = text(query, "Prefix");
    const auto after = text(query, "after");
    json::array items;
    bool more = false;
    for (const auto& [key, each] : items_) {
      if (key.starts_with(prefix) && key > after) {
        if (items.size() == page_items) {
          more = true;
          break;
        }
        items.push_back(row(key, each));
      }
    }
    return {200,
            {{"items", std::move(items)},
             {"MorePages", more},
             {"CurrentRev", at_}}};
  }
  if (path == "/v1/kv-txn") {
    return transact(body);
  }
  if (path == "/v1/kv-lease") {
    const auto ttl = json::parse(body).at("TtlMs").to_number<std::int64_t>();
    const auto id = ++next_lease_;
    leases_[id] = {std::chrono::milliseconds(ttl),
                   std::make_shared<asio::steady_timer>(io_)};
    renew(id);
    return {200, {{"Lease", id}, {"TtlMs", ttl}}};
  }
  const auto id = std::stoull("0" + path.substr(path.rfind('/') + 1));
  if (!leases_.contains(id)) {
    return {404, {}};
  }
  const auto ttl = leases_[id].ttl.count();
  if (method == "DELETE") {
    end_lease(id);
  } else {
    renew(id);
  }
  return {200, {{"TtlMs", ttl}}};
}

store::answer store::transact(const std::string& text) {
  const auto wanted = json::parse(text);
  json::array present;
  bool holds = true;
  for (const auto& each : wanted.at("Expect").as_array()) {
    const std::string key(each.at("Key").as_string());
    const auto found = items_.find(key);
    const auto rev = found == items_.end() ? 0 : found->second.changed;
    holds = holds && rev == each.at("Rev").to_number<std::uint64_t>();
    if (found != items_.end()) {
      present.push_back(row(key, found->second));
    }
  }
  if (!holds) {
    return {412, {{"items", std::move(present)}}};
  }
  for (const auto& each : wanted.at("Put").as_array()) {
    const auto id = each.at("Lease").to_number<std::uint64_t>();
    if (id != 0 && !leases_.contains(id)) {
      return {404, {}};
    }
  }
  for (const auto& each : wanted.at("Put").as_array()) {
    write(std::string(each.at("Key").as_string()),
          from_base64(std::string(each.at("Value").as_string())),
          each.at("Lease").to_number<std::uint64_t>());
  }
  for (const auto& each : wanted.at("Delete").as_array()) {
    remove(std::string(each.as_string()));
  }
  return {200, {{"Rev", at_}}};
}

void store::renew(std::uint64_t id) {
  auto& known = leases_[id];
  known.timer->expires_after(known.ttl);
  known.timer->async_wait([this, id](auto error) {
    if (!error) {
      end_lease(id);
    }
  });
}

void store::end_lease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, each] : items_) {
    if (each.lease == id) {
      keys.push_back(key);
    }
  }
  for (const auto& key : keys) {
    remove(key);
  }
}

}  // namespace review
