#include "daemon/metrics_text.h"

#include "metrics/metrics_page.h"

namespace rosemarydrum {

std::string metrics_text(const metrics_snapshot& snapshot,
                         const thread_rings& shared_rings) {
  metrics_page page;
  page.gauge("ready", snapshot.ready ? 1 : 0);
  page.gauge("leaving", snapshot.leaving ? 1 : 0);
  page.gauge("configuration_revision",
             static_cast<double>(snapshot.configuration));
  page.gauge("unfinished_requests",
             static_cast<double>(snapshot.unfinished_requests));
  page.gauge("flows", static_cast<double>(snapshot.flows));
  page.gauge("live_peers", static_cast<double>(snapshot.live_peers));
  page.gauge("decided_shards", static_cast<double>(snapshot.decided_shards));
  for (std::size_t i = 0; i < counter_names.size(); ++i) {
    page.counter(counter_names[i], snapshot.counters[i]);
  }
  page.counter("ring_rpc_to_data_dropped", shared_rings.rpc_to_data.dropped());
  page.counter("ring_data_to_rpc_dropped", shared_rings.data_to_rpc.dropped());
  page.counter("ring_store_to_data_dropped",
               shared_rings.store_to_data.dropped());
  page.counter("ring_data_to_metrics_dropped",
               shared_rings.data_to_metrics.dropped());
  page.histogram("fabric_datagram_seconds", snapshot.fabric_time);
  page.histogram("upstream_datagram_seconds", snapshot.upstream_time);
  page.histogram("peer_message_seconds", snapshot.peer_time);
  page.histogram("tick_delay_seconds", snapshot.tick_delay);
  return page.text();
}

}  // namespace rosemarydrum
