#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "io/runtime_timer.h"
#include "rosemarydrum/types.h"
#include "standins/http_session.h"

namespace rosemarydrum::standins {

/// Pending long polls that wait for a change.
class store_watches {
 public:
  using session_ptr = std::shared_ptr<http_session>;
  /// Answers a poll for changes of a prefix after a revision.
  using answer =
      std::function<void(const session_ptr&, const std::string&, revision)>;

  store_watches(boost::asio::io_context& io, answer reply)
      : io_(io), answer_(std::move(reply)) {}

  std::size_t size() const { return waiting_.size(); }

  void add(const session_ptr& from, std::string prefix, revision after,
           milliseconds wait) {
    const auto made =
        std::make_shared<poll>(io_, from, std::move(prefix), after);
    waiting_.push_back(made);
    made->timer.expires_at(runtime_clock::now() + wait);
    made->timer.async_wait([this, weak = std::weak_ptr<poll>(made)](
                               const boost::system::error_code& error) {
      // The poll may have been answered before this handler ran.
      const auto expired = weak.lock();
      if (expired && !error) {
        end([&](const poll& each) { return &each == expired.get(); });
      }
    });
  }

  void wake(const std::string& key) {
    end([&](const poll& each) { return key.starts_with(each.prefix); });
  }
  void wake_all() {
    end([](const poll&) { return true; });
  }

 private:
  struct poll {
    poll(boost::asio::io_context& io, session_ptr from, std::string of,
         revision since)
        : timer(io),
          session(std::move(from)),
          prefix(std::move(of)),
          after(since) {}
    runtime_timer timer;
    session_ptr session;
    std::string prefix;
    revision after;
  };

  template <typename Chosen>
  void end(Chosen chosen) {
    std::list<std::shared_ptr<poll>> ended;
    for (auto next = waiting_.begin(); next != waiting_.end();) {
      const auto each = next++;
      if (chosen(**each)) {
        ended.splice(ended.end(), waiting_, each);
      }
    }
    for (const auto& each : ended) {
      answer_(each->session, each->prefix, each->after);
    }
  }

  boost::asio::io_context& io_;
  answer answer_;
  std::list<std::shared_ptr<poll>> waiting_;
};

}  // namespace rosemarydrum::standins
