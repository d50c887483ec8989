#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "fleet/timeline.h"
#include "io/runtime_timer.h"

namespace rosemarydrum {

/// Runs functions in real time on the thread of an io_context.
class live_timeline : public timeline {
 public:
  explicit live_timeline(boost::asio::io_context& io) : io_(io) {}

  time_point now() const override { return runtime_clock::now(); }

  void after(duration wait, std::function<void()> run) override {
    const auto timer = std::make_shared<runtime_timer>(io_);
    timer->expires_after(wait);
    timer->async_wait(
        [timer, run = std::move(run)](const boost::system::error_code& error) {
          if (!error) {
            run();
          }
        });
  }

 private:
  boost::asio::io_context& io_;
};

}  // namespace rosemarydrum
