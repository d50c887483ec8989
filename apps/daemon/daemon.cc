#include "daemon/daemon.h"

#include <glog/logging.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <random>
#include <thread>

#include "daemon/data_thread.h"
#include "daemon/http_config_store.h"
#include "daemon/listeners.h"
#include "daemon/metrics_thread.h"
#include "daemon/peer_rpc_thread.h"
#include "daemon/store_thread.h"
#include "io/addresses.h"

namespace rosemarydrum {
namespace {

using boost::asio::io_context;

/// Returns an incarnation that increases with each start of a balancer. The
/// random low bits distinguish two starts within one millisecond.
incarnation new_incarnation() {
  constexpr int random_bits = 20;
  std::random_device random;
  return incarnation(
      (runtime_clock::to_unix(runtime_clock::now()) << random_bits) |
      (random() & ((1U << random_bits) - 1)));
}

balancer_settings core_settings(const settings& checked) {
  balancer_settings core;
  core.self = {checked.id, new_incarnation()};
  core.data_centre = checked.data_centre;
  core.token_secret.assign(checked.token_secret.begin(),
                           checked.token_secret.end());
  std::random_device random;
  core.seed = (std::uint64_t{random()} << 32) | random();
  for (const auto& peer : checked.peers) {
    core.bootstrap.push_back({peer.id, peer.address});
  }
  return core;
}

}  // namespace

void run_daemon(const settings& checked) {
  // A write to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  io_context data_context(1);
  io_context metrics_context(1);
  io_context store_context(1);
  const auto work = boost::asio::make_work_guard(metrics_context);
  auto bound = bind_listeners(data_context, metrics_context, checked.listen,
                              checked.rpc_listen, checked.metrics_listen);
  const auto core = core_settings(checked);
  LOG(INFO) << "listening balancer=" << value_of(core.self.id)
            << " run=" << value_of(core.self.run)
            << " data=" << bound.data.local_endpoint()
            << " rpc=" << bound.rpc.local_endpoint()
            << " metrics=" << bound.metrics.local_endpoint();

  thread_rings shared_rings;
  metrics_thread metrics(metrics_context, std::move(bound.metrics),
                         shared_rings);
  peer_rpc_thread peers(bound.rpc.release(), shared_rings);
  data_thread data(data_context, std::move(bound.data), core, checked.fabric,
                   shared_rings, [&] { data_context.stop(); });

  boost::asio::signal_set signals(data_context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) {
      data.shut_down();
    }
  });
  http_config_store store(store_context, to_tcp(*checked.store));
  store_thread reader(store_context, store, shared_rings);
  metrics.start();
  reader.start();
  data.start();
  std::thread metrics_runner([&] { metrics_context.run(); });
  std::thread peers_runner([&] { peers.run(); });
  std::thread store_runner([&] { store_context.run(); });
  data_context.run();

  store_context.stop();
  store_runner.join();
  peers.stop();
  peers_runner.join();
  metrics_context.stop();
  metrics_runner.join();
  metrics.drain();
  LOG(INFO) << "exiting balancer=" << value_of(core.self.id);
}

}  // namespace rosemarydrum
