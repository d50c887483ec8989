#include "daemon/metrics_thread.h"

#include <boost/asio/post.hpp>

#include "daemon/event_line.h"
#include "daemon/metrics_text.h"
#include "io/http_session.h"

namespace rosemarydrum {
namespace {

// The data thread publishes a snapshot every 200 ms, so an older one shows that
// it hangs.
constexpr seconds max_snapshot_age{2};

}  // namespace

metrics_thread::metrics_thread(boost::asio::io_context& context,
                               boost::asio::ip::tcp::acceptor acceptor,
                               thread_rings& shared_rings)
    : context_(context),
      server_(std::move(acceptor),
              [this](std::string_view target) { return answer(target); }),
      rings_(shared_rings),
      latest_at_(runtime_clock::now()) {
  rings_.data_to_metrics.on_push(
      [this] { boost::asio::post(context_, [this] { drain(); }); });
}

void metrics_thread::start() { server_.start(); }

void metrics_thread::drain() {
  rings_.data_to_metrics.drain([this](metrics_event&& event) {
    if (auto* snapshot = std::get_if<metrics_snapshot>(&event)) {
      latest_ = std::move(*snapshot);
      latest_at_ = runtime_clock::now();
    } else if (const auto* record = std::get_if<event_record>(&event)) {
      log_event(*record);
    }
  });
}

http_response metrics_thread::answer(std::string_view target) const {
  const bool healthy = runtime_clock::now() - latest_at_ < max_snapshot_age;
  if (target == "/metrics") {
    return {200, metrics_text(latest_, rings_)};
  }
  if (target == "/healthz") {
    return healthy ? http_response{200, "ok\n"}
                   : http_response{503, "data thread hangs\n"};
  }
  if (target == "/readyz") {
    const bool ready = healthy && latest_.ready && !latest_.leaving;
    return ready ? http_response{200, "ready\n"}
                 : http_response{503, "not ready\n"};
  }
  return {404, "not found\n"};
}

}  // namespace rosemarydrum
