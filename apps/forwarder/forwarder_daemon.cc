#include "forwarder/forwarder_daemon.h"

#include <unistd.h>

#include <boost/asio/post.hpp>
#include <csignal>
#include <random>
#include <thread>

#include "forwarder/log_fields.h"
#include "io/addresses.h"
#include "rosemarydrum/address_text.h"

namespace rosemarydrum {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using asio::ip::udp;

constexpr milliseconds log_interval{250};
constexpr seconds reload_interval{2};
/// The fabric removes a process from rotation after two missed checks.
constexpr milliseconds min_stop_time{1200};
constexpr milliseconds stop_check_interval{300};
/// The process exits this long before the stop grace period ends, even if
/// packets still arrive.
constexpr milliseconds stop_margin{1500};
constexpr std::string_view metrics_target = "/metrics";

std::uint64_t random_number() {
  std::random_device random;
  return (std::uint64_t{random()} << 32) | random();
}

udp::socket bind_udp(asio::io_context& io, const endpoint& at) {
  udp::socket socket(io, to_udp(at));
  socket.non_blocking(true);
  return socket;
}

milliseconds max_age(const forwarder_options& options) {
  return std::min({options.configuration_bound, options.drain_bound,
                   options.data_centre_bound});
}

forwarder_settings core_settings(const forwarder_options& options) {
  constexpr double thousandths = 1000.0;
  return {options.name,
          options.data_centre,
          options.flow_lifetime,
          options.data_centre_bound,
          max_age(options) / 2,
          options.cold_factor / thousandths,
          static_cast<double>(options.cold_extra),
          random_number()};
}

/// Returns the peer endpoints of the other instances. All forwarders use the
/// same peer port.
std::vector<endpoint> peer_endpoints(const forwarder_options& options) {
  std::vector<endpoint> peers;
  for (const auto& seed : options.seeds) {
    if (seed.address != options.peer_listen.address) {
      peers.push_back({seed.address, options.peer_listen.port});
    }
  }
  return peers;
}

spread_settings make_spread_settings(const forwarder_options& options,
                                     std::uint64_t run) {
  return {{options.name, options.data_centre, options.peer_listen,
           options.processor_share},
          incarnation(run),
          peer_endpoints(options),
          max_age(options),
          random_number(),
          options.flow_lifetime};
}

event_logger logger(log_ring& ring, logical_clock& clock,
                    const forwarder_options& options) {
  event_logger log(ring, clock);
  log.set_severity(severity_of(options.log_level));
  log.set_limit(event_id::flow_opened, options.log_flows);
  return log;
}

json::array names(const std::vector<std::string>& list) {
  return json::array(list.begin(), list.end());
}

}  // namespace

forwarder_daemon::forwarder_daemon(const forwarder_platform& platform,
                                   settings_source& source,
                                   forwarder_options options)
    : source_(source),
      options_(std::move(options)),
      writer_(STDOUT_FILENO, {options_.name, random_number()},
              {&rings_.data_log, &rings_.control_log}),
      store_(platform.open_store(control_io_, options_.store)),
      data_(data_io_, bind_udp(data_io_, options_.listen), platform.codec,
            core_settings(options_), rings_,
            logger(rings_.data_log, clock_, options_)),
      control_(control_io_,
               {bind_udp(control_io_, options_.peer_listen),
                tcp::acceptor(control_io_, to_tcp(options_.peer_listen))},
               *store_, platform.schema,
               make_spread_settings(options_, random_number()), rings_,
               logger(rings_.control_log, clock_, options_), clock_),
      ready_(
          tcp::acceptor(control_io_, to_tcp(options_.ready_listen)),
          [this, target = platform.ready_target](std::string_view requested) {
            if (requested != target) {
              return http_response{404, "not found\n"};
            }
            return control_.is_ready() ? http_response{200, "ready\n"}
                                       : http_response{503, "not ready\n"};
          }),
      signals_(control_io_, SIGTERM, SIGINT, SIGHUP),
      reload_timer_(control_io_),
      stop_timer_(control_io_),
      log_timer_(log_io_) {
  if (options_.metrics_listen.port != 0) {
    metrics_ = std::make_unique<http_server>(
        tcp::acceptor(control_io_, to_tcp(options_.metrics_listen)),
        [this](std::string_view target) {
          return target == metrics_target
                     ? http_response{200, control_.metrics()}
                     : http_response{404, "not found\n"};
        });
  }
}

void forwarder_daemon::run() {
  log_start(runtime_clock::now());
  ready_.start();
  if (metrics_) {
    metrics_->start();
  }
  wait_signal();
  wait_reload();
  control_.start();
  data_.start();
  write_log();
  std::thread log_runner([this] { log_io_.run(); });
  std::thread data_runner([this] { data_io_.run(); });
  control_io_.run();
  data_io_.stop();
  data_runner.join();
  log_io_.stop();
  log_runner.join();
  writer_.write(runtime_clock::now());
}

void forwarder_daemon::log_start(time_point now) {
  control_.log().log(event_id::process_started, now, [this] {
    return json::object{{"version", ROSEMARYDRUM_VERSION},
                        {"data_centre", options_.data_centre},
                        {"listen", to_string(options_.listen)},
                        {"peers", to_string(options_.peer_listen)},
                        {"store", to_string(options_.store)}};
  });
}

void forwarder_daemon::write_log() {
  writer_.write(runtime_clock::now());
  log_timer_.expires_after(log_interval);
  log_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      write_log();
    }
  });
}

void forwarder_daemon::wait_signal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int number) {
        if (error) {
          return;
        }
        if (number == SIGHUP) {
          reload("signal");
        } else {
          stop();
        }
        wait_signal();
      });
}

void forwarder_daemon::wait_reload() {
  reload_timer_.expires_after(reload_interval);
  reload_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    if (source_.has_changed()) {
      reload("file");
    }
    wait_reload();
  });
}

void forwarder_daemon::reload(std::string_view cause) {
  const auto now = runtime_clock::now();
  auto loaded = source_.load();
  if (const auto* problem = std::get_if<field_error>(&loaded)) {
    control_.log().log(event_id::settings_rejected, now, [&] {
      return json::object{{"cause", cause}, {"problem", to_line(*problem)}};
    });
    return;
  }
  const auto& reloaded = std::get<forwarder_options>(loaded);
  const auto changes = difference(options_, reloaded);
  options_ = reloaded;
  control_.configure(peer_endpoints(options_), max_age(options_));
  control_.set_log(options_.log_flows, severity_of(options_.log_level));
  control_.log().log(event_id::settings_reloaded, now, [&] {
    return json::object{{"cause", cause},
                        {"changed", names(changes.immediate)},
                        {"waiting", names(changes.after_restart)}};
  });
}

void forwarder_daemon::stop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_began_ = runtime_clock::now();
  control_.log().log(event_id::shutdown_started, stop_began_, [this] {
    return json::object{{"flows", control_.data().flows}};
  });
  control_.leave();
  wait_stopped();
}

// The fabric sends packets until it notices that the process is not ready. The
// process forwards them until no more arrive.
void forwarder_daemon::wait_stopped() {
  stop_timer_.expires_after(stop_check_interval);
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    const auto now = runtime_clock::now();
    const auto packets = data_.packets_received();
    const bool no_new_packets = packets == packets_seen_;
    packets_seen_ = packets;
    const auto stopped_for = now - stop_began_;
    if ((no_new_packets && stopped_for >= min_stop_time) ||
        stopped_for >= options_.stop_grace - stop_margin) {
      control_.log().log(event_id::shutdown_finished, now, [this] {
        return json::object{{"flows", control_.data().flows}};
      });
      control_io_.stop();
      return;
    }
    wait_stopped();
  });
}

}  // namespace rosemarydrum
