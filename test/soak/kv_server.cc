#include "soak/kv_server.h"

#include <kj/encoding.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <memory>

#include "rosemarydrum/number_text.h"

namespace rosemarydrum {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;
using boost::asio::ip::tcp;

std::string decode(std::string_view text) {
  const auto decoded = kj::decodeUriComponent(
      kj::ArrayPtr<const char>(text.data(), text.size()));
  return {decoded.cStr(), decoded.size()};
}

std::string base64(const std::string& text) {
  const auto encoded = kj::encodeBase64(kj::ArrayPtr<const kj::byte>(
      reinterpret_cast<const kj::byte*>(text.data()), text.size()));
  return {encoded.cStr(), encoded.size()};
}

std::string from_base64(std::string_view text) {
  const auto decoded =
      kj::decodeBase64(kj::ArrayPtr<const char>(text.data(), text.size()));
  return {reinterpret_cast<const char*>(decoded.begin()), decoded.size()};
}

json::object object_of(const kv_item& item) {
  if (item.removed) {
    return {{"Key", item.key}, {"Rev", item.changed.number}, {"Removed", true}};
  }
  return {{"Key", item.key},
          {"Value", base64(item.value)},
          {"Rev", item.changed.number},
          {"CreateRevision", item.changed.number},
          {"Lease", value_of(item.lease)}};
}

json::array array_of(const std::vector<kv_item>& items) {
  json::array list;
  for (const auto& item : items) {
    list.push_back(object_of(item));
  }
  return list;
}

/// The path and the query parameters of a call.
struct call {
  std::string path;
  std::map<std::string, std::string> query;

  explicit call(std::string_view target) {
    const auto mark = target.find('?');
    path = target.substr(0, mark);
    while (mark != std::string_view::npos && !target.empty()) {
      target = target.substr(target.find_first_of("?&") + 1);
      const auto end = target.find('&');
      const auto pair = target.substr(0, end);
      const auto equals = pair.find('=');
      query[std::string(pair.substr(0, equals))] =
          decode(pair.substr(equals + 1));
      if (end == std::string_view::npos) {
        break;
      }
    }
  }

  std::uint64_t number(const std::string& name) const {
    const auto found = query.find(name);
    return found == query.end() ? 0 : parse_number(found->second).value_or(0);
  }
  std::string text(const std::string& name) const {
    const auto found = query.find(name);
    return found == query.end() ? "" : found->second;
  }
};

struct answer {
  unsigned status = 200;
  json::object body;
};

class session : public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket, fake_kv_store& store, live_timeline& time)
      : stream_(std::move(socket)), store_(store), time_(time) {}

  void read() {
    request_ = {};
    http::async_read(stream_, buffer_, request_,
                     [self = shared_from_this()](
                         const boost::system::error_code& error, std::size_t) {
                       if (!error) {
                         self->handle();
                       }
                     });
  }

 private:
  void handle() {
    const auto target = request_.target();
    const call wanted({target.data(), target.size()});
    if (wanted.path == "/v1/kv-watch") {
      watch(wanted);
    } else {
      write(run(wanted));
    }
  }

  answer run(const call& wanted) {
    const duration lag =
        wanted.number("AllowStale") == 1 ? store_.stale_lag : duration(0);
    if (wanted.path == "/v1/kv-range" || wanted.path == "/v1/kv-key") {
      return read_items(wanted, lag);
    }
    if (wanted.path == "/v1/kv-txn") {
      return transact();
    }
    if (wanted.path == "/v1/kv-lease") {
      return {200, {{"Lease", value_of(store_.grant())}, {"TtlMs", 60000}}};
    }
    const auto slash = wanted.path.rfind('/');
    const auto lease =
        lease_id(parse_number(wanted.path.substr(slash + 1)).value_or(0));
    if (wanted.path.starts_with("/v1/kv-keep/")) {
      return {store_.has_lease(lease) ? 200U : 404U, {{"TtlMs", 60000}}};
    }
    return {404, {}};
  }

  answer read_items(const call& wanted, duration lag) {
    if (wanted.path == "/v1/kv-key") {
      const auto key = wanted.text("Key");
      auto read = store_.list(key, {}, lag);
      if (read.items.empty() || read.items[0].key != key) {
        return {404, {{"CurrentRev", read.at.number}}};
      }
      auto body = object_of(read.items[0]);
      body["CurrentRev"] = read.at.number;
      return {200, std::move(body)};
    }
    const auto read =
        store_.list(wanted.text("Prefix"), wanted.text("after"), lag);
    return {200,
            {{"items", array_of(read.items)},
             {"MorePages", read.more},
             {"CurrentRev", read.at.number}}};
  }

  answer transact() {
    boost::system::error_code error;
    const auto body = json::parse(request_.body(), error);
    if (error) {
      return {400, {}};
    }
    revision changed{};
    for (const auto& put : body.at("Put").as_array()) {
      const auto lease = lease_id(put.at("Lease").to_number<std::uint64_t>());
      if (lease != lease_id{} && !store_.has_lease(lease)) {
        return {404, {}};
      }
      changed = store_.put(std::string(put.at("Key").as_string()),
                           from_base64(put.at("Value").as_string()), lease);
    }
    return {200, {{"Rev", changed.number}}};
  }

  void watch(const call& wanted) {
    const auto prefix = wanted.text("Prefix");
    const auto after = revision(wanted.number("after"));
    auto done = std::make_shared<bool>(false);
    const auto reply = [self = shared_from_this(),
                        done](const kv_watch_result& events) {
      if (std::exchange(*done, true)) {
        return;
      }
      if (events.error == error_kind::store_unavailable) {
        self->stream_.close();
      } else if (events.error != error_kind::none) {
        self->write({410, {}});
      } else {
        self->write({200,
                     {{"events", array_of(events.items)},
                      {"CurrentRev", events.at.number}}});
      }
    };
    const auto now = store_.events_after(prefix, after);
    if (now.error != error_kind::none || !now.items.empty()) {
      reply(now);
      return;
    }
    store_.add_watch({prefix, after, reply});
    time_.after(milliseconds(wanted.number("WaitMs")), [this, reply] {
      reply({error_kind::none, {}, store_.at(), store_.era()});
    });
  }

  void write(const answer& given) {
    response_ = {static_cast<http::status>(given.status), 11};
    response_.set(http::field::content_type, "application/json");
    response_.set("Store-Era", std::to_string(value_of(store_.era())));
    response_.body() = json::serialize(given.body);
    response_.prepare_payload();
    http::async_write(stream_, response_,
                      [self = shared_from_this()](
                          const boost::system::error_code& error, std::size_t) {
                        if (!error) {
                          self->read();
                        }
                      });
  }

  boost::beast::tcp_stream stream_;
  fake_kv_store& store_;
  live_timeline& time_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

}  // namespace

kv_server::kv_server(boost::asio::io_context& io, fake_kv_store& store,
                     live_timeline& time)
    : store_(store),
      time_(time),
      acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
  accept();
}

void kv_server::accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          std::make_shared<session>(std::move(socket), store_, time_)->read();
        }
        accept();
      });
}

}  // namespace rosemarydrum
