#include <algorithm>

#include "rosemarydrum/events/event_log.h"

namespace rosemarydrum {
namespace {

using enum event_id;
using enum event_severity;

constexpr event_description catalogue[] = {
    {process_started, "process_started", info,
     "The process has started. It is not ready yet.",
     "version data_centre listen peers store"},
    {process_ready, "process_ready", info,
     "The process has the newest configuration known to it and accepts packets "
     "from the fabric.",
     "configuration era revision upstreams"},
    {shutdown_started, "shutdown_started", info,
     "A planned stop has begun: the process reports itself not ready and "
     "finishes what is in progress.",
     "flows"},
    {shutdown_finished, "shutdown_finished", info,
     "The handover is complete and all work is finished; the process exits.",
     "flows"},
    {settings_reloaded, "settings_reloaded", info,
     "The changed settings file is in force; `waiting` lists settings that "
     "take effect at the next start.",
     "cause changed waiting"},
    {settings_rejected, "settings_rejected", error,
     "The settings file has an invalid value; the previous settings stay in "
     "force.",
     "cause problem"},
    {process_stalled, "process_stalled", warning,
     "A thread has not run for `stalled_ms`: its information may be outdated "
     "and answers may have been lost.",
     "thread stalled_ms"},
    {log_lines_dropped, "log_lines_dropped", warning,
     "Log lines were dropped because standard output did not accept them.",
     "dropped"},
    {ready_changed, "ready_changed", info,
     "The answer to readiness checks has changed.", "ready reason"},
    {configuration_applied, "configuration_applied", info,
     "Documents up to this revision are in effect at this process; detail "
     "counts them, if several came at once. A forwarder names the operators' "
     "version.",
     "configuration detail routes era revision age_ms"},
    {configuration_ignored, "configuration_ignored", info,
     "Documents that are not newer than the applied ones were ignored; detail "
     "counts them. A forwarder names the version in effect and the revision of "
     "the ignored one.",
     "configuration detail era revision"},
    {store_lost, "store_lost", warning,
     "The configuration store cannot be reached. The balancer continues with "
     "the last accepted configuration.",
     "error era revision age_ms"},
    {store_back, "store_back", info,
     "The configuration store can be reached again.", "lost_ms era revision"},
    {document_rejected, "document_rejected", error,
     "A document of this revision has an invalid field or exceeds the limits "
     "of stored documents; the previous version stays in effect. Detail is the "
     "error's number.",
     "configuration detail era revision"},
    {store_restored, "store_restored", warning,
     "The store answers in a later era: it was restored from a copy, may have "
     "lost what it had acknowledged, and gives out revisions again. "
     "`revision` is what this process knew before.",
     "era previous_era revision"},
    {store_listed, "store_listed", info,
     "All items of the store were read at the revision `listed`. `updated` "
     "counts those that were new to this process, `outdated` those whose "
     "value differs from a later one that it knows.",
     "era listed items updated outdated revision"},
    {lost_item_kept, "lost_item_kept", warning,
     "The restored store shows another version of an item than the later one "
     "of `revision` that this process knows. That one stays in force until "
     "the item is written again; if the contents do not tell which version is "
     "later, for at most `hold_ms`.",
     "item removed era revision restored_era restored_revision hold_ms"},
    {store_reading_started, "store_reading_started", info,
     "This process reads the store for its data centre. `rank` counts the "
     "members that come before it.",
     "rank era revision age_ms"},
    {store_reading_stopped, "store_reading_stopped", info,
     "Another member of the data centre reads the store.",
     "era revision age_ms"},
    {knowledge_stale, "knowledge_stale", warning,
     "Neither the store nor a member has confirmed this process's information "
     "for `age_ms`. It continues with revision `revision` and queries other "
     "members.",
     "era revision age_ms"},
    {knowledge_fresh, "knowledge_fresh", info,
     "This process's information is confirmed again after `stale_ms`. What it "
     "has recorded of silent upstreams is dropped.",
     "era revision stale_ms"},
    {knowledge_confirmed, "knowledge_confirmed", info,
     "Logged once a minute: the revision known to this process and its age.",
     "era revision age_ms members upstreams flows"},
    {peer_joined, "peer_joined", info,
     "A peer is live; detail is its balancer number.", "data_centre detail"},
    {peer_suspected, "peer_suspected", warning,
     "A peer is silent and treated as dead; detail is its balancer number.",
     "data_centre detail"},
    {peer_leaving, "peer_leaving", info,
     "A peer is stopping as planned; detail is its balancer number.",
     "data_centre detail"},
    {peer_message_refused, "peer_message_refused", warning,
     "A message was refused because it is malformed or not from a configured "
     "peer; detail is the balancer number that it claims.",
     "detail"},
    {connection_replaced, "connection_replaced", warning,
     "A connection gave no answer for 3 s and was replaced; detail is the "
     "peer's balancer number, 0 for the store.",
     "detail"},
    {lease_acquired, "lease_acquired", info,
     "The balancer now decides the slots of a shard; detail is the shard.",
     "detail"},
    {lease_lost, "lease_lost", warning,
     "The balancer no longer decides a shard, because too few members renewed "
     "its lease; detail is the shard.",
     "detail"},
    {lease_handed_over, "lease_handed_over", info,
     "The balancer has handed a shard to its successor; detail is the shard.",
     "detail"},
    {member_listed, "member_listed", info,
     "A forwarder is in the store's list of members.",
     "member data_centre address era revision"},
    {member_removed, "member_removed", info,
     "A forwarder is no longer in the store's list of members.",
     "member era revision"},
    {member_registered, "member_registered", info,
     "This process's record is in the store; `written` unless its last run's "
     "was still there.",
     "written"},
    {upstream_cold, "upstream_cold", warning,
     "An upstream has restarted, shed a request, been reset or become slow; it "
     "gets one request at a time.",
     "service upstream"},
    {upstream_warm, "upstream_warm", info,
     "An upstream answers well and gets requests on all its slots.",
     "service upstream"},
    {upstream_draining, "upstream_draining", info,
     "An upstream is draining: it gets no new requests and finishes those in "
     "progress.",
     "service upstream"},
    {upstream_out, "upstream_out", info,
     "An upstream is no longer listed, or its data centre is out; it gets no "
     "more requests.",
     "service upstream"},
    {upstream_listed, "upstream_listed", info,
     "The store's entry of an upstream is new or has changed. `cold_ms` is how "
     "long it stays cold; `started_ms` is its start in Unix milliseconds.",
     "upstream service data_centre address cold_ms started_ms draining "
     "era revision"},
    {upstream_unreadable, "upstream_unreadable", warning,
     "The entry of an upstream cannot be parsed: it gets no new flows, "
     "existing ones continue.",
     "upstream era revision"},
    {upstream_gone, "upstream_gone", info,
     "The entry of an upstream was removed: it gets no new flows after "
     "`grace_ms`, existing ones continue.",
     "upstream service grace_ms era revision"},
    {upstream_silent, "upstream_silent", warning,
     "An upstream has not answered two handshakes of this process in a row; it "
     "is avoided and retried occasionally.",
     "upstream service data_centre flow unanswered configuration era revision "
     "age_ms"},
    {upstream_answers, "upstream_answers", info,
     "A silent upstream has answered. It gets few flows for `spared_ms`, "
     "because it may have been restarted.",
     "upstream service data_centre flow spared_ms configuration era revision "
     "age_ms"},
    {upstream_ejected, "upstream_ejected", warning,
     "An upstream answers handshakes but fails far more flows of this data "
     "centre's callers than others of its service. It gets new flows only if "
     "no other upstream can take them. `failures`: those not yet expired.",
     "upstream service data_centre failures configuration era revision age_ms"},
    {upstream_restored, "upstream_restored", info,
     "The failures of an ejected upstream have expired; it gets flows again.",
     "upstream service data_centre configuration era revision age_ms"},
    {upstream_unresponsive, "upstream_unresponsive", warning,
     "Callers have sent data to an upstream several times in vain, and no "
     "member of this data centre has told of an answer since. `losses`: the "
     "transmissions that were not acknowledged. Its open flows that passed "
     "here lately are reset, except for those with a request that must run at "
     "most once.",
     "upstream service data_centre losses configuration era revision age_ms"},
    {upstream_slow_start, "upstream_slow_start", info,
     "An upstream has started or recovered: this process paces its new flows "
     "to it, from a part of the usual rate upwards.",
     "upstream service data_centre configuration era revision age_ms"},
    {upstream_full_pace, "upstream_full_pace", info,
     "The slow start of an upstream has ended: it is loaded like the others of "
     "its service. Not logged if it takes no flows any more.",
     "upstream service data_centre configuration era revision age_ms"},
    {upstream_suspected, "upstream_suspected", info,
     "A caller of this process, or of the member whose run is `reporter`, had "
     "no answer to a handshake that was sent `waited_ms` ago. The upstream may "
     "have been restarted and counts as cold, unless it answers on an earlier "
     "flow or its entry shows that it was not.",
     "upstream service data_centre reporter waited_ms configuration era "
     "revision age_ms"},
    {request_refused, "request_refused", warning,
     "A request was refused; detail is the error's number.",
     "service flow request detail"},
    {request_retried, "request_retried", info,
     "An idempotent request is sent again, because the named upstream failed "
     "it.",
     "service flow request upstream"},
    {request_hedged, "request_hedged", info,
     "An idempotent request is sent to a second upstream, because the named "
     "one is slow.",
     "service flow request upstream"},
    {request_closed, "request_closed", warning,
     "The owner of a non-idempotent request cannot be reached and the witness "
     "has closed the request: it has not run and will not run. Detail is the "
     "owner's balancer number.",
     "service flow request detail"},
    {request_unknown, "request_unknown", error,
     "It is not known whether a non-idempotent request has run. Detail is the "
     "owner's balancer number.",
     "service flow request detail"},
    {packet_refused, "packet_refused", warning,
     "A packet was refused before it became a request; detail is the error's "
     "number.",
     "detail"},
    {flow_bound, "flow_bound", info, "A new flow was bound to an upstream.",
     "service flow upstream"},
    {flow_lost, "flow_lost", warning,
     "A flow ended although its caller had not ended it; detail is the error's "
     "number.",
     "service flow upstream detail"},
    {event_id::data_centre_out, "data_centre_out", warning,
     "Operators have taken a data centre out; it gets no new flows from this "
     "process.",
     "data_centre configuration era revision"},
    {data_centre_in, "data_centre_in", info,
     "Operators have put a data centre in, `back_ms` ago if known; for some "
     "seconds from then its upstreams count as cold.",
     "data_centre back_ms configuration era revision"},
    {flow_opened, "flow_opened", info,
     "A request's flow has opened: the upstream was chosen for `reason` among "
     "`candidates`, with `in_flight` flows of this process at it. "
     "`handshake_us` counts from the caller's first packet, of which "
     "`attempts` were sent.",
     "request flow route upstream service data_centre reason in_flight "
     "candidates attempts handshake_us configuration era revision age_ms"},
    {flow_placed_again, "flow_placed_again", warning,
     "An upstream has not answered the opening packet after `waited_us`, so it "
     "was sent to another one. `cause`: timeout or the caller's copy.",
     "flow route cause unanswered upstream in_flight candidates attempts "
     "waited_us configuration era revision age_ms"},
    {flow_refused, "flow_refused", warning,
     "A reset was sent to the caller: the request has not run here. `reason` "
     "is no_upstream (none can take it), overloaded (upstreams reject "
     "requests, and other routes are more urgent) or no_route.",
     "flow route reason service listed draining cold silent out configuration "
     "era revision age_ms"},
    {flow_unanswered, "flow_unanswered", warning,
     "A flow was given up: no upstream answered any of `attempts` opening "
     "packets in `waited_us`.",
     "flow route upstream attempts waited_us configuration era revision "
     "age_ms"},
    {flow_discarded, "flow_discarded", warning,
     "A packet was not sent on. `reason`: no_route, unreachable, outdated, "
     "unknown_tag, data_centre_out, stalled, not_a_callers_packet or "
     "malformed.",
     "flow reason tag configuration era revision age_ms"},
    {flow_slow, "flow_slow", warning,
     "A request took longer than its route's objective from its first packet "
     "to the caller's end of the flow.",
     "request flow route upstream service attempts handshake_us first_data_us "
     "duration_us objective_ms in_flight configuration era revision age_ms"},
    {flow_failed, "flow_failed", warning,
     "The answer to a request is far shorter than most of its route, or has "
     "not begun in time, so that it counts against the upstream. "
     "`usual_bytes`: three answers of four are longer.",
     "request flow route upstream service answer_bytes usual_bytes waited_us "
     "configuration era revision age_ms"},
    {flow_stalled, "flow_stalled", warning,
     "The caller of an open flow has sent the data of a request again: the "
     "upstream has not acknowledged the transmission before.",
     "request flow upstream service waited_us configuration era revision "
     "age_ms"},
    {flow_reset, "flow_reset", warning,
     "An open flow was reset, because its upstream is unresponsive. `request`: "
     "the current or latest one; `waited_us`: the time since it began, 0 if "
     "it has been answered.",
     "request flow upstream service waited_us configuration era revision "
     "age_ms"},
    {flow_retagged, "flow_retagged", info,
     "The opening packet of a flow that is open at `upstream` was sent once "
     "more to `other`, which was tried as well: a late answer of it now "
     "carries the tag of the flow's upstream.",
     "flow upstream other attempts configuration era revision age_ms"},
    {service_unable, "service_unable", warning,
     "Nearly all of the latest new flows have failed; this process reports "
     "itself not ready for `pause_ms`.",
     "opened failed pause_ms configuration era revision age_ms"},
    {service_able, "service_able", info,
     "This process is available again after `service_unable`.",
     "configuration era revision age_ms"},
    {flows_limited, "flows_limited", warning,
     "Many upstreams of the service reject requests; `rejected_percent` of "
     "the recent requests were rejected. Only a part of the new flows of "
     "routes with this priority "
     "is admitted, so that more urgent ones find room.",
     "service priority rejected_percent configuration era revision age_ms"},
    {flows_unlimited, "flows_unlimited", info,
     "All new flows are admitted again after `flows_limited`.",
     "service priority rejected_percent configuration era revision age_ms"},
};

}  // namespace

std::span<const event_description> event_catalogue() { return catalogue; }

const event_description* find_event(event_id id) {
  const auto* found = std::lower_bound(
      std::begin(catalogue), std::end(catalogue), id,
      [](const auto& row, event_id wanted) { return row.id < wanted; });
  return found != std::end(catalogue) && found->id == id ? found : nullptr;
}

}  // namespace rosemarydrum
