#include "forwarder/metrics_text.h"

#include "metrics/metrics_page.h"

namespace rosemarydrum {
namespace {

void append(metrics_page& page, const control_metrics& control) {
  page.gauge("ready", control.ready ? 1 : 0);
  page.gauge("reads_store", control.reading ? 1 : 0);
  page.gauge("configuration_version",
             static_cast<double>(control.configuration));
  page.gauge("known_revision", static_cast<double>(control.revision));
  page.gauge("knowledge_age_seconds", control.knowledge_age_seconds);
  page.gauge("members", static_cast<double>(control.members));
  page.gauge("items", static_cast<double>(control.items));
  page.counter("items_outdated", control.items_outdated);
  page.gauge("items_kept", static_cast<double>(control.items_kept));
  page.counter("peer_messages_sent", control.messages_sent);
  page.counter("peer_messages_received", control.messages_received);
  page.counter("peer_messages_malformed", control.messages_malformed);
  page.counter("peer_sends_failed", control.sends_failed);
  page.counter("peer_fetches", control.fetches);
  page.counter("peer_fetches_failed", control.fetches_failed);
  page.counter("log_lines_dropped", control.log_lines_dropped);
}

template <std::size_t Count>
void append(metrics_page& page, std::string_view name, std::string_view label,
            const std::array<std::string_view, Count>& names,
            const std::array<std::uint64_t, Count>& values) {
  for (std::size_t i = 0; i < Count; ++i) {
    if (values[i] > 0) {
      page.counter(name, label, names[i], values[i]);
    }
  }
}

void append(metrics_page& page, const data_metrics& data) {
  page.gauge("flows", static_cast<double>(data.flows));
  page.counter("packets_received", data.packets_received);
  page.counter("packets_forwarded", data.packets_forwarded);
  page.counter("sends_failed", data.sends_failed);
  append(page, "packets_discarded", "reason", verdict_reason_names,
         data.discarded);
  append(page, "resets_sent", "reason", verdict_reason_names, data.resets);
  append(page, "flows_placed", "reason", placement_reason_names, data.placed);
  page.counter("flows_placed_again", data.placed_again);
  page.counter("flows_retagged", data.flows_retagged);
  page.counter("flows_opened", data.flows_opened);
  page.counter("flows_ended", data.flows_ended);
  page.counter("flows_unanswered", data.flows_unanswered);
  page.counter("flows_failed", data.flows_failed);
  page.counter("flows_stalled", data.flows_stalled);
  page.counter("upstreams_unresponsive", data.upstreams_unresponsive);
  page.counter("flow_limits_set", data.flow_limits_set);
  page.counter("upstreams_ejected", data.upstreams_ejected);
  page.counter("upstreams_restored", data.upstreams_restored);
  page.counter("upstreams_silent", data.upstreams_silent);
  page.counter("upstreams_answered", data.upstreams_answered);
  page.counter("slow_starts", data.slow_starts);
  page.gauge("upstreams_in_slow_start",
             static_cast<double>(data.upstreams_in_slow_start));
  page.counter("stalls", data.stalls);
  page.histogram("handshake_seconds", data.handshake);
  page.histogram("first_data_seconds", data.first_data);
  page.histogram("flow_seconds", data.flow_time);
  page.histogram("timer_lateness_seconds", data.lateness);
}

}  // namespace

std::string metrics_text(const control_metrics& control,
                         const data_metrics& data,
                         const measured_store& store) {
  metrics_page page;
  append(page, control);
  append(page, data);
  store.append_to(page);
  return page.text();
}

}  // namespace rosemarydrum
