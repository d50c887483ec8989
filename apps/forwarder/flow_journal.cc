#include "forwarder/flow_journal.h"

#include <cmath>

#include "forwarder/log_fields.h"

namespace rosemarydrum {
namespace {

namespace json = boost::json;

std::size_t index_of(verdict_reason reason) {
  return static_cast<std::size_t>(reason);
}

json::object request_fields(const open_flow& flow,
                            const known_upstream& upstream, time_point now) {
  const auto& progress = flow.progress;
  return {
      {"request", flow.request},
      {"flow", text_of(flow.ends)},
      {"upstream", text_of(upstream.record.key)},
      {"service", upstream.record.service},
      {"waited_us",
       progress.is_waiting() ? (now - progress.request_began()).count() : 0}};
}

}  // namespace

json::object flow_journal::with_known_state(json::object fields,
                                            time_point now) const {
  fields["configuration"] = known_state_.configuration;
  fields["age_ms"] = whole_ms(now - known_state_.confirmed_at);
  return with_revision(std::move(fields), known_state_.known_revision);
}

void flow_journal::on_handshake(const open_flow& flow, time_point now) {
  ++metrics_.flows_opened;
  ++metrics_.placed[static_cast<std::size_t>(flow.choice.reason)];
  metrics_.handshake.add(now - flow.began);
}

void flow_journal::on_opened(const open_flow& flow,
                             const known_upstream& upstream, time_point now) {
  metrics_.first_data.add(now - flow.began);
  log_.log(event_id::flow_opened, now, [&] {
    return with_known_state(
        {{"request", flow.request},
         {"flow", text_of(flow.ends)},
         {"route", flow.route},
         {"upstream", text_of(upstream.record.key)},
         {"service", upstream.record.service},
         {"data_centre", upstream.record.data_centre},
         {"reason", name_of(flow.choice.reason)},
         {"in_flight", flow.choice.in_flight},
         {"candidates", flow.choice.candidates},
         {"attempts", flow.attempts},
         {"handshake_us", (flow.opened_at - flow.began).count()}},
        now);
  });
}

void flow_journal::on_placed_again(const open_flow& flow,
                                   const known_upstream& upstream,
                                   const known_upstream& silent,
                                   duration waited, repeat_cause cause,
                                   time_point now) {
  ++metrics_.placed_again;
  log_.log(event_id::flow_placed_again, now, [&] {
    return with_known_state(
        {{"flow", text_of(flow.ends)},
         {"route", flow.route},
         {"cause", cause == repeat_cause::timeout ? "timeout" : "callers_copy"},
         {"unanswered", text_of(silent.record.key)},
         {"upstream", text_of(upstream.record.key)},
         {"in_flight", flow.choice.in_flight},
         {"candidates", flow.choice.candidates},
         {"attempts", flow.attempts},
         {"waited_us", waited.count()}},
        now);
  });
}

void flow_journal::on_retagged(const open_flow& flow,
                               const known_upstream& upstream,
                               const known_upstream& other, time_point now) {
  ++metrics_.flows_retagged;
  log_.log(event_id::flow_retagged, now, [&] {
    return with_known_state({{"flow", text_of(flow.ends)},
                             {"upstream", text_of(upstream.record.key)},
                             {"other", text_of(other.record.key)},
                             {"attempts", flow.attempts}},
                            now);
  });
}

void flow_journal::on_refused(const flow_packet& packet, verdict_reason reason,
                              const std::string& route,
                              const std::string& service,
                              const upstream_counts& counts, time_point now) {
  ++metrics_.resets[index_of(reason)];
  log_.log(event_id::flow_refused, now, [&] {
    return with_known_state({{"flow", text_of(packet.flow)},
                             {"route", route},
                             {"reason", name_of(reason)},
                             {"service", service},
                             {"listed", counts.listed},
                             {"draining", counts.draining},
                             {"cold", counts.cold},
                             {"silent", counts.silent},
                             {"out", counts.out}},
                            now);
  });
}

void flow_journal::on_unanswered(const open_flow& flow,
                                 const known_upstream& upstream,
                                 time_point now) {
  ++metrics_.flows_unanswered;
  log_.log(event_id::flow_unanswered, now, [&] {
    return with_known_state({{"flow", text_of(flow.ends)},
                             {"route", flow.route},
                             {"upstream", text_of(upstream.record.key)},
                             {"attempts", flow.attempts},
                             {"waited_us", (now - flow.began).count()}},
                            now);
  });
}

void flow_journal::on_discarded(const flow_packet& packet,
                                verdict_reason reason, time_point now) {
  ++metrics_.discarded[index_of(reason)];
  log_.log(event_id::flow_discarded, now, [&] {
    return with_known_state({{"flow", text_of(packet.flow)},
                             {"reason", name_of(reason)},
                             {"tag", value_of(packet.tag)}},
                            now);
  });
}

void flow_journal::on_malformed(time_point now) {
  ++metrics_.discarded[index_of(verdict_reason::malformed)];
  log_.log(event_id::flow_discarded, now, [&] {
    return with_known_state({{"reason", name_of(verdict_reason::malformed)}},
                            now);
  });
}

void flow_journal::on_ended(const open_flow& flow,
                            const known_upstream& upstream, time_point now) {
  ++metrics_.flows_ended;
  if (flow.progress.requests() > 1) {
    return;
  }
  const auto took = now - flow.began;
  metrics_.flow_time.add(took);
  if (flow.objective.count() == 0 || took <= flow.objective) {
    return;
  }
  log_.log(event_id::flow_slow, now, [&] {
    return with_known_state(
        {{"request", flow.request},
         {"flow", text_of(flow.ends)},
         {"route", flow.route},
         {"upstream", text_of(upstream.record.key)},
         {"service", upstream.record.service},
         {"attempts", flow.attempts},
         {"handshake_us", (flow.opened_at - flow.began).count()},
         {"first_data_us", (flow.first_data_at - flow.began).count()},
         {"duration_us", took.count()},
         {"objective_ms", flow.objective.count()},
         {"in_flight", flow.choice.in_flight}},
        now);
  });
}

void flow_journal::on_failed(const open_flow& flow,
                             const known_upstream& upstream, double usual_bytes,
                             time_point now) {
  ++metrics_.flows_failed;
  log_.log(event_id::flow_failed, now, [&] {
    return with_known_state(
        {{"request", flow.request},
         {"flow", text_of(flow.ends)},
         {"route", flow.route},
         {"upstream", text_of(upstream.record.key)},
         {"service", upstream.record.service},
         {"answer_bytes", flow.progress.answer_bytes()},
         {"usual_bytes", std::llround(usual_bytes)},
         {"waited_us", (now - flow.progress.request_began()).count()}},
        now);
  });
}

void flow_journal::on_flow_stalled(const open_flow& flow,
                                   const known_upstream& upstream,
                                   time_point now) {
  ++metrics_.flows_stalled;
  log_.log(event_id::flow_stalled, now, [&] {
    return with_known_state(request_fields(flow, upstream, now), now);
  });
}

void flow_journal::on_reset(const open_flow& flow,
                            const known_upstream& upstream, time_point now) {
  ++metrics_.resets[index_of(verdict_reason::unresponsive)];
  log_.log(event_id::flow_reset, now, [&] {
    return with_known_state(request_fields(flow, upstream, now), now);
  });
}

void flow_journal::on_stall(duration stalled, time_point now) {
  ++metrics_.stalls;
  log_.log(event_id::process_stalled, now, [&] {
    return json::object{{"thread", "data"}, {"stalled_ms", whole_ms(stalled)}};
  });
}

void flow_journal::on_ability(bool unable, int opened, int failed,
                              duration pause, time_point now) {
  if (!unable) {
    log_.log(event_id::service_able, now,
             [&] { return with_known_state({}, now); });
    return;
  }
  log_.log(event_id::service_unable, now, [&] {
    return with_known_state(
        {{"opened", opened}, {"failed", failed}, {"pause_ms", whole_ms(pause)}},
        now);
  });
}

void flow_journal::on_limit_change(const limit_change& change, time_point now) {
  metrics_.flow_limits_set += change.limited ? 1 : 0;
  log_.log(
      change.limited ? event_id::flows_limited : event_id::flows_unlimited, now,
      [&] {
        return with_known_state(
            {{"service", change.service},
             {"priority", change.priority},
             {"rejected_percent", std::lround(change.rejected_share * 100)}},
            now);
      });
}

}  // namespace rosemarydrum
