#include "rosemarydrum/balancer/balancer.h"

#include "balancer/balancer_state.h"

namespace rosemarydrum {
namespace {

/// Gives peers and the fabric time to notice that this balancer is leaving.
constexpr seconds min_shutdown_time{1};
/// After this time the process may exit even if requests are unfinished.
constexpr seconds max_shutdown_time{15};

}  // namespace

void balancer_output::clear() {
  to_peers.clear();
  to_upstreams.clear();
  to_callers.clear();
  events.clear();
}

balancer::balancer(balancer_settings settings, time_point started)
    : state_(std::make_unique<state>(std::move(settings), started)) {}

balancer::~balancer() = default;

void balancer::on_store_documents(std::span<const document> documents,
                                  time_point now, balancer_output& out) {
  actions pending;
  const auto peers = state_->members.serving(state_->settings.data_centre, now);
  if (state_->config.on_documents(documents, true, peers, now, pending)) {
    state_->on_configuration_change(now, pending);
  }
  state_->carry_out(pending, now, out);
}

void balancer::on_store_state(bool reachable, time_point now,
                              balancer_output& out) {
  if (reachable == state_->store_reachable) {
    return;
  }
  state_->store_reachable = reachable;
  event_record event;
  event.id = reachable ? event_id::store_back : event_id::store_lost;
  actions pending{record_event{event}};
  state_->carry_out(pending, now, out);
}

bool balancer::reads_store(time_point now) const {
  return state_->reads_store(now);
}

void balancer::on_fabric(bytes_view datagram, time_point now,
                         balancer_output& out) {
  actions pending;
  if (const auto unwrapped = decode_envelope(datagram)) {
    state_->on_caller_datagram(unwrapped->envelope, unwrapped->inner, false,
                               now, pending);
  } else {
    event_record event;
    event.id = event_id::packet_refused;
    pending.push_back(record_event{event});
  }
  state_->carry_out(pending, now, out);
}

void balancer::on_upstream(const endpoint& from, bytes_view datagram,
                           time_point now, balancer_output& out) {
  actions pending;
  state_->on_upstream_datagram(from, datagram, now, pending);
  state_->carry_out(pending, now, out);
}

void balancer::on_peer(const endpoint& from, const peer_message& message,
                       time_point now, balancer_output& out) {
  actions pending;
  state_->on_peer_message(from, message, now, pending);
  state_->carry_out(pending, now, out);
}

void balancer::tick(time_point now, balancer_output& out) {
  actions pending;
  state_->tick(now, pending);
  if (may_exit(now) && !state_->finish_recorded) {
    state_->finish_recorded = true;
    event_record event;
    event.id = event_id::shutdown_finished;
    pending.push_back(record_event{event});
  }
  state_->carry_out(pending, now, out);
}

void balancer::shut_down(time_point now, balancer_output& out) {
  if (state_->leaving) {
    return;
  }
  state_->leaving = true;
  state_->leaving_since = now;
  event_record event;
  event.id = event_id::shutdown_started;
  actions pending{record_event{event}};
  state_->tick(now, pending);
  state_->carry_out(pending, now, out);
}

bool balancer::may_exit(time_point now) const {
  if (!state_->leaving || now - state_->leaving_since < min_shutdown_time) {
    return false;
  }
  return now - state_->leaving_since >= max_shutdown_time ||
         (state_->owner.unfinished() == 0 && state_->forwarder.pending() == 0);
}

balancer_status balancer::status(time_point now) const {
  balancer_status status;
  status.ready = state_->is_serving_now(now);
  status.leaving = state_->leaving;
  status.configuration = state_->config.current().highest;
  status.unfinished_requests = state_->owner.unfinished();
  status.flows = state_->flows.size();
  status.decided = state_->leases.held(now);
  status.live = state_->members.serving(state_->settings.data_centre, now);
  return status;
}

const configuration& balancer::current_configuration() const {
  return state_->config.current();
}

const event_log& balancer::events() const { return state_->events; }

}  // namespace rosemarydrum
