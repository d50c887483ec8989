#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <vector>

#include "io/runtime_timer.h"
#include "rosemarydrum/configuration/config_codec.h"
#include "standins/http_session.h"
#include "standins/http_target.h"
#include "standins/store_control.h"
#include "standins/store_requests.h"
#include "standins/store_state.h"
#include "standins/store_watches.h"

namespace rosemarydrum::standins {

/// Stand-in for the platform's key-value store (docs/store-protocol.md). Runs
/// on the thread of its io_context and must outlive the context's run.
class store_server {
 public:
  using tcp = boost::asio::ip::tcp;

  store_server(boost::asio::io_context& io, const tcp::endpoint& address)
      : io_(io), acceptor_(io, address) {
    accept();
  }

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  store_counts counts() const {
    auto counts = counts_;
    counts.waiting_watches = watches_.size();
    return counts;
  }
  store_state& documents() { return documents_; }
  store_faults& faults() { return faults_; }

  /// Freezes reads at the present state, or returns to the current state.
  void set_stale(bool stale) {
    faults_.stale = stale;
    snapshot_ = documents_;
  }

  /// Open connections stay open but never answer again; new ones work.
  void silence() {
    for (const auto& weak : sessions_) {
      if (const auto session = weak.lock()) {
        session->stop_sending();
        silent_sessions_.push_back(session);  // stays open
      }
    }
  }

 private:
  using session_ptr = std::shared_ptr<http_session>;
  using request = http_session::request;

  static constexpr std::size_t max_sessions = 512;
  static constexpr std::uint64_t max_wait_ms = 10'000;

  void accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket) {
          if (error) {
            return;
          }
          std::erase_if(sessions_, [](const auto& s) { return s.expired(); });
          if (sessions_.size() < max_sessions) {
            const auto session = std::make_shared<http_session>(
                std::move(socket),
                [this](const session_ptr& from, const request& asked) {
                  handle(from, asked);
                });
            sessions_.push_back(session);
            session->read();
          }
          accept();
        });
  }

  const store_state& visible() const {
    return faults_.stale ? snapshot_ : documents_;
  }

  void reply(const session_ptr& to, unsigned status, std::string body) {
    counts_.bytes_sent += body.size();
    if (faults_.delay_ms == 0) {
      to->answer(status, std::move(body));
      return;
    }
    const auto timer = std::make_shared<runtime_timer>(
        io_, runtime_clock::now() + milliseconds(faults_.delay_ms));
    timer->async_wait(
        [timer, to, status, body = std::move(body)](
            const boost::system::error_code&) { to->answer(status, body); });
  }

  void refuse(const session_ptr& to, unsigned status, const char* name) {
    reply(to, status, std::string(R"({"error":")") + name + "\"}");
  }

  void handle(const session_ptr& from, const request& asked) {
    const auto target = parse_target(asked.target());
    if (!target) {
      refuse(from, 400, "bad_request");
    } else if (target->path == "/control") {
      control(from, asked);
    } else if (target->path.starts_with("/v1/")) {
      call(from, asked, *target);
    } else {
      refuse(from, 404, "not_found");
    }
  }

  void control(const session_ptr& from, const request& asked) {
    const bool was_stale = faults_.stale;
    bool silenced = false;
    if (asked.method() == http::verb::post &&
        !apply_control(asked.body(), faults_, silenced)) {
      from->answer(400, R"({"error":"bad_request"})");
      return;
    }
    if (faults_.stale != was_stale) {
      set_stale(faults_.stale);
    }
    if (faults_.outage) {
      watches_.wake_all();
    }
    from->answer(200, counts().to_json());
    if (silenced) {
      silence();
    }
  }

  void call(const session_ptr& from, const request& asked,
            const http_target& target) {
    constexpr std::string_view keys = "/v1/keys/";
    const bool is_put = asked.method() == http::verb::put;
    const bool is_key = target.path.starts_with(keys);
    const auto key = is_key ? target.path.substr(keys.size()) : std::string();
    auto& count = target.path == "/v1/list"     ? counts_.lists
                  : target.path == "/v1/watch"  ? counts_.watches
                  : target.path == "/v1/leases" ? counts_.leases
                  : is_put                      ? counts_.puts
                                                : counts_.gets;
    ++count;
    if (faults_.outage) {
      refuse(from, 503, "store_unavailable");
    } else if (is_key && is_put) {
      put(from, key, asked, target);
    } else if (is_key) {
      const auto found = visible().get(key);
      if (found) {
        reply(from, 200, boost::json::serialize(store_json::write(*found)));
      } else {
        refuse(from, 404, "not_found");
      }
    } else if (target.path == "/v1/leases" && is_put) {
      lease(from, asked);
    } else if (const auto after = target.number("after");
               after && target.path == "/v1/list") {
      reply(from, 200,
            store_json::write(
                visible().list(target.text("prefix"), revision(*after))));
    } else if (after && target.path == "/v1/watch") {
      watch(from, target, revision(*after));
    } else {
      refuse(from, 400, "bad_request");
    }
  }

  void put(const session_ptr& from, const std::string& key,
           const request& asked, const http_target& target) {
    const auto expected = target.number("expected");
    auto text = read_text(asked.body());
    if (!expected || key.empty() || key.size() > 256 || !text) {
      refuse(from, 400, "bad_request");
      return;
    }
    if (text->size() > max_document_bytes) {
      refuse(from, 413, "too_large");
      return;
    }
    const auto changed =
        documents_.put(key, std::move(*text), revision(*expected));
    if (changed) {
      if (!faults_.stale) {
        watches_.wake(key);
      }
    }
    if (faults_.lose_answers) {
      from->drop();
    } else if (changed) {
      reply(from, 200,
            boost::json::serialize(boost::json::object{
                {"key", key}, {"revision", changed->number}}));
    } else {
      refuse(from, 409, "conflict");
    }
  }

  void lease(const session_ptr& from, const request& asked) {
    const auto wanted = read_lease(asked.body());
    if (!wanted) {
      refuse(from, 400, "bad_request");
      return;
    }
    const auto now = runtime_clock::now();
    const auto& held =
        leases_.acquire(wanted->name, wanted->holder, wanted->ttl, now);
    const auto left =
        std::chrono::duration_cast<milliseconds>(held.until - now).count();
    reply(from, held.holder == wanted->holder ? 200 : 409,
          boost::json::serialize(boost::json::object{{"holder", held.holder},
                                                     {"expires_in_ms", left}}));
  }

  void watch(const session_ptr& from, const http_target& target,
             revision after) {
    const auto prefix = target.text("prefix");
    const auto page = visible().list(prefix, after);
    const auto wait =
        std::min(target.number("wait_ms").value_or(0), max_wait_ms);
    if (!page.documents.empty() || wait == 0) {
      reply(from, 200, store_json::write(page));
      return;
    }
    watches_.add(from, prefix, after, milliseconds(wait));
  }

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  store_state documents_;
  store_state snapshot_;
  lease_state leases_;
  store_faults faults_;
  store_counts counts_;
  std::vector<std::weak_ptr<http_session>> sessions_;
  std::vector<session_ptr> silent_sessions_;
  store_watches watches_{
      io_,
      [this](const session_ptr& to, const std::string& prefix, revision after) {
        if (faults_.outage) {
          refuse(to, 503, "store_unavailable");
        } else {
          reply(to, 200, store_json::write(visible().list(prefix, after)));
        }
      }};
};

}  // namespace rosemarydrum::standins
