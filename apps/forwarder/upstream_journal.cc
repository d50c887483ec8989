#include <cmath>

#include "forwarder/flow_journal.h"
#include "forwarder/log_fields.h"

// Decisions about upstreams, rather than single flows.

namespace rosemarydrum {
namespace {

namespace json = boost::json;

json::object fields_of(const known_upstream& upstream) {
  return {{"upstream", text_of(upstream.record.key)},
          {"service", upstream.record.service},
          {"data_centre", upstream.record.data_centre}};
}

json::object fields_of(const open_flow& flow, const known_upstream& upstream) {
  auto fields = fields_of(upstream);
  fields["flow"] = text_of(flow.ends);
  return fields;
}

}  // namespace

void flow_journal::on_ejected(const known_upstream& upstream, double failures,
                              time_point now) {
  ++metrics_.upstreams_ejected;
  log_.log(event_id::upstream_ejected, now, [&] {
    auto fields = fields_of(upstream);
    fields["failures"] = std::llround(failures);
    return with_known_state(std::move(fields), now);
  });
}

void flow_journal::on_restored(const known_upstream& upstream, time_point now) {
  ++metrics_.upstreams_restored;
  log_.log(event_id::upstream_restored, now,
           [&] { return with_known_state(fields_of(upstream), now); });
}

void flow_journal::on_slow_start_entered(const known_upstream& upstream,
                                         time_point now) {
  ++metrics_.slow_starts;
  log_.log(event_id::upstream_slow_start, now,
           [&] { return with_known_state(fields_of(upstream), now); });
}

void flow_journal::on_slow_start_left(const known_upstream& upstream,
                                      time_point now) {
  log_.log(event_id::upstream_full_pace, now,
           [&] { return with_known_state(fields_of(upstream), now); });
}

void flow_journal::on_silent(const open_flow& flow,
                             const known_upstream& upstream, int unanswered,
                             time_point now) {
  ++metrics_.upstreams_silent;
  log_.log(event_id::upstream_silent, now, [&] {
    auto fields = fields_of(flow, upstream);
    fields["unanswered"] = unanswered;
    return with_known_state(std::move(fields), now);
  });
}

void flow_journal::on_suspected(const known_upstream& upstream,
                                incarnation reporter, time_point sent,
                                time_point now) {
  log_.log(event_id::upstream_suspected, now, [&] {
    auto fields = fields_of(upstream);
    fields["reporter"] = text_of(reporter);
    fields["waited_ms"] = whole_ms(now - sent);
    return with_known_state(std::move(fields), now);
  });
}

void flow_journal::on_unresponsive(const known_upstream& upstream,
                                   std::size_t losses, time_point now) {
  ++metrics_.upstreams_unresponsive;
  log_.log(event_id::upstream_unresponsive, now, [&] {
    auto fields = fields_of(upstream);
    fields["losses"] = losses;
    return with_known_state(std::move(fields), now);
  });
}

void flow_journal::on_answers(const open_flow& flow,
                              const known_upstream& upstream, duration spared,
                              time_point now) {
  ++metrics_.upstreams_answered;
  log_.log(event_id::upstream_answers, now, [&] {
    auto fields = fields_of(flow, upstream);
    fields["spared_ms"] = whole_ms(spared);
    return with_known_state(std::move(fields), now);
  });
}

}  // namespace rosemarydrum
