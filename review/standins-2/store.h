#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

/// The platform's store as PROTOCOL.md describes it: one revision counter,
/// items, watches, leases, all-or-nothing writes. Nothing is rate-limited.
namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

class store {
 public:
  explicit store(asio::io_context& io)
      : io_(io), acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  /// While set, the store is down: it answers 503 to all calls, and nothing is
  /// done. Stand-ins of backends then write nothing either.
  bool busy = false;

  std::uint64_t write(const std::string& key, const std::string& value,
                      std::uint64_t lease = 0);
  std::uint64_t remove(const std::string& key);

 private:
  struct item {
    std::string value;
    std::uint64_t changed = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct event {
    std::uint64_t at = 0;
    std::string key;
    bool removed = false;
    item written;
  };
  struct lease {
    std::chrono::milliseconds ttl{0};
    std::shared_ptr<asio::steady_timer> timer;
  };
  struct answer {
    unsigned status = 200;
    json::object body;
  };
  struct watcher {
    std::string prefix;
    std::uint64_t after = 0;
    std::function<void(const answer&)> reply;
  };
  struct session;
  friend struct session;

  void accept();
  answer run(const std::string& method, const std::string& path,
             const std::map<std::string, std::string>& query,
             const std::string& body);
  void watch(const std::map<std::string, std::string>& query,
             const std::function<void(const answer&)>& reply);
  answer events_after(const std::string& prefix, std::uint64_t after) const;
  answer transact(const std::string& text);
  void renew(std::uint64_t id);
  void end_lease(std::uint64_t id);
  void record(event each);

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint64_t at_ = 10;
  std::uint64_t next_lease_ = 77000;
  std::map<std::string, item> items_;
  std::deque<event> history_;
  std::map<std::uint64_t, lease> leases_;
  std::list<watcher> watchers_;
};

}  // namespace review
