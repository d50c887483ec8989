#include "forwarder/control_loop.h"

#include <boost/asio/post.hpp>

#include "forwarder/metrics_text.h"
#include "io/addresses.h"
#include "rosemarydrum/number_text.h"

namespace rosemarydrum {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr milliseconds tick_interval{50};
constexpr seconds summary_interval{60};
/// A thread counts as stalled if its timer runs later than this.
constexpr milliseconds stall_time{400};
constexpr std::size_t max_datagram = 65'536;
constexpr int max_batch = 64;
/// Followed by the era and the number of a revision.
constexpr std::string_view items_target = "/items?after=";
constexpr char era_separator = '.';
constexpr std::string_view removed_target = "/removed-items";

}  // namespace

control_loop::control_loop(asio::io_context& context, sockets bound,
                           kv_store& store, const fleet_schema& schema,
                           const spread_settings& settings,
                           forwarder_rings& rings, event_logger log,
                           logical_clock& clock)
    : context_(context),
      peers_(std::move(bound.peers)),
      peer_calls_(
          std::move(bound.peer_calls),
          [this](std::string_view target) { return answer_peer(target); }),
      rings_(rings),
      log_(std::move(log)),
      clock_(clock),
      store_(store),
      agent_(store_, schema, settings, *this, runtime_clock::now()),
      journal_(log_, agent_.replica()),
      timer_(context),
      buffer_(max_datagram) {
  rings_.to_control.on_push([this] {
    asio::post(context_, [this] {
      rings_.to_control.drain(
          [this](data_report&& report) { take_report(std::move(report)); });
    });
  });
}

void control_loop::start() {
  last_tick_ = runtime_clock::now();
  next_summary_ = last_tick_ + summary_interval;
  peer_calls_.start();
  wait_readable();
  tick(last_tick_);
  wait_tick();
}

void control_loop::leave() {
  leaving_ = true;
  agent_.leave(runtime_clock::now());
}

std::string_view control_loop::unready_reason() const {
  if (leaving_) {
    return "stopping";
  }
  if (agent_.configuration_version() == 0) {
    return "no configuration";
  }
  return report_.unable ? "no upstream answers" : "";
}

void control_loop::configure(std::vector<endpoint> seeds,
                             milliseconds max_age) {
  agent_.configure(std::move(seeds), max_age);
}

void control_loop::take_report(data_report&& report) {
  report_ = std::move(report);
  agent_.on_failures(report_.failures);
  const auto now = runtime_clock::now();
  if (!report_.sightings.empty()) {
    agent_.on_sightings(report_.sightings, now);
  }
  if (!report_.flows.empty()) {
    agent_.on_flow_records(report_.flows, now);
  }
}

void control_loop::set_log(std::uint32_t flows, event_severity severity) {
  log_.set_severity(severity);
  control_update update;
  update.log_flows = flows;
  update.log_severity = severity;
  update.fleet.known_revision = agent_.replica().at();
  update.fleet.confirmed_at = agent_.replica().confirmed_at();
  rings_.to_data.push(std::move(update));
}

void control_loop::wait_tick() {
  timer_.expires_after(tick_interval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      tick(runtime_clock::now());
      wait_tick();
    }
  });
}

void control_loop::tick(time_point now) {
  if (const auto late = now - last_tick_ - tick_interval; late > stall_time) {
    journal_.on_stall(late, now);
    agent_.on_stall(now);
  }
  last_tick_ = now;
  agent_.tick(now);
  journal_.on_era(store_.era(), now);
  journal_.on_state(agent_.is_fresh(now), agent_.is_reading(),
                    agent_.spread().rank(), now);
  journal_.on_readiness(is_ready(), unready_reason(), now);
  if (now >= next_summary_) {
    next_summary_ = now + summary_interval;
    journal_.on_summary(agent_.spread().members().size(), report_.metrics.flows,
                        now);
  }
}

void control_loop::wait_readable() {
  peers_.async_wait(asio::ip::udp::socket::wait_read,
                    [this](const boost::system::error_code& error) {
                      if (!error) {
                        receive_messages();
                        wait_readable();
                      }
                    });
}

void control_loop::receive_messages() {
  const auto now = runtime_clock::now();
  if (now - last_tick_ > stall_time + tick_interval) {
    // The queued messages may have waited for as long as the stall lasted.
    agent_.on_stall(now);
  }
  for (int i = 0; i < max_batch; ++i) {
    asio::ip::udp::endpoint from;
    boost::system::error_code error;
    const auto size =
        peers_.receive_from(asio::buffer(buffer_), from, 0, error);
    if (error) {
      break;
    }
    if (const auto message =
            decode_spread_message(bytes_view(buffer_.data(), size))) {
      ++metrics_.messages_received;
      clock_.observe(message->logical_time);
      agent_.on_message(from_asio(from), *message, now);
    } else {
      ++metrics_.messages_malformed;
    }
  }
}

void control_loop::send(const spread_datagram& datagram) {
  auto message = datagram.message;
  message.logical_time = clock_.next();
  const auto encoded = encode(message);
  boost::system::error_code error;
  for (const auto& to : datagram.to) {
    peers_.send_to(asio::buffer(encoded), to_udp(to), 0, error);
    ++(error ? metrics_.sends_failed : metrics_.messages_sent);
  }
}

void control_loop::fetch(const fetch_request& request) {
  auto target = request.kind == fetch_kind::unlisted
                    ? std::string(removed_target)
                    : std::string(items_target) +
                          std::to_string(value_of(request.after.era)) +
                          era_separator + std::to_string(request.after.number);
  fetching_ = std::make_shared<http_connection>(context_, to_tcp(request.from));
  fetching_->call({http::verb::get, std::move(target), {}, request.deadline},
                  [this](const http_answer& answer) { on_fetched(answer); });
}

void control_loop::on_fetched(const http_answer& answer) {
  std::optional<spread_message> message;
  if (answer.status == static_cast<unsigned>(http::status::ok)) {
    message = decode_spread_message(
        {reinterpret_cast<const std::uint8_t*>(answer.body.data()),
         answer.body.size()});
    ++(message ? metrics_.fetches : metrics_.messages_malformed);
  } else {
    ++metrics_.fetches_failed;
  }
  if (message) {
    clock_.observe(message->logical_time);
  }
  agent_.on_fetched(message, runtime_clock::now());
}

void control_loop::update(fleet_update update) {
  rings_.to_data.push({std::move(update), std::nullopt, std::nullopt});
}

void control_loop::on_change(const fleet_change& change, time_point now) {
  journal_.on_change(change, now);
}

void control_loop::on_rejected(revision changed, time_point now) {
  journal_.on_rejected(changed, now);
}

void control_loop::on_listed(const listing_effect& effect, time_point now) {
  journal_.on_listed(effect, now);
}

void control_loop::on_kept(const kept_item& kept, time_point now) {
  journal_.on_kept(kept, now);
}

void control_loop::on_ignored(const fleet_change& change, time_point now) {
  journal_.on_ignored(change, now);
}

void control_loop::on_member(const kv_item& item, time_point now) {
  journal_.on_member(item, now);
}

void control_loop::on_registered(bool written, time_point now) {
  journal_.on_registered(written, now);
}

void control_loop::on_store(error_kind error, time_point now) {
  journal_.on_store(error, now);
}

std::optional<spread_message> control_loop::message_for(
    std::string_view target) const {
  const auto now = runtime_clock::now();
  if (target == removed_target) {
    return agent_.unlisted_items(now);
  }
  if (!target.starts_with(items_target)) {
    return std::nullopt;
  }
  const auto text = target.substr(items_target.size());
  const auto separator = text.find(era_separator);
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  const auto era = parse_number(text.substr(0, separator));
  const auto number = parse_number(text.substr(separator + 1));
  if (!era || !number) {
    return std::nullopt;
  }
  return agent_.changes_after({store_era(*era), *number}, now);
}

http_response control_loop::answer_peer(std::string_view target) const {
  auto message = message_for(target);
  if (!message) {
    return {404, "not found\n"};
  }
  message->logical_time = clock_.next();
  const auto encoded = encode(*message);
  return {200,
          {reinterpret_cast<const char*>(encoded.data()), encoded.size()},
          "application/octet-stream"};
}

std::string control_loop::metrics() const {
  auto now = metrics_;
  now.ready = is_ready();
  now.reading = agent_.is_reading();
  now.configuration = agent_.configuration_version();
  now.revision = agent_.replica().at().number;
  now.knowledge_age_seconds =
      std::chrono::duration<double>(runtime_clock::now() -
                                    agent_.replica().confirmed_at())
          .count();
  now.members = agent_.spread().members().size();
  now.items = agent_.replica().size();
  now.items_outdated = agent_.replica().outdated();
  now.items_kept = agent_.replica().kept_count();
  now.log_lines_dropped =
      rings_.data_log.dropped() + rings_.control_log.dropped();
  return metrics_text(now, report_.metrics, store_);
}

}  // namespace rosemarydrum
