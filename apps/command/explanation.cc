#include "command/explanation.h"

#include <algorithm>
#include <array>
#include <functional>
#include <set>
#include <tuple>

namespace rosemarydrum {
namespace {

/// State changes this long before a request's first event may explain it.
constexpr std::uint64_t context_ms = 15'000;

/// Events of an upstream that explain decisions about it.
constexpr std::array<std::string_view, 11> upstream_events{
    "upstream_listed",    "upstream_unreadable",   "upstream_gone",
    "upstream_silent",    "upstream_answers",      "upstream_ejected",
    "upstream_restored",  "upstream_unresponsive", "upstream_slow_start",
    "upstream_full_pace", "upstream_suspected"};
/// Events of a process that explain its decisions.
constexpr std::array<std::string_view, 20> process_events{
    "process_started",
    "process_ready",
    "process_stalled",
    "ready_changed",
    "shutdown_started",
    "shutdown_finished",
    "settings_reloaded",
    "store_lost",
    "store_back",
    "store_restored",
    "store_reading_started",
    "store_reading_stopped",
    "knowledge_stale",
    "knowledge_fresh",
    "service_unable",
    "service_able",
    "flows_limited",
    "flows_unlimited",
    "data_centre_out",
    "data_centre_in"};

template <typename List>
bool contains(const List& list, std::string_view name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

/// Criteria that select the events of a request.
struct selection {
  std::set<std::string> flows;
  std::set<std::string> upstreams;
  std::set<std::string> nodes;
  std::set<std::string> configurations;
  std::uint64_t first_ms = 0;
  std::uint64_t last_ms = 0;

  bool empty() const { return flows.empty(); }
};

bool is_about_flow(const logged_event& event,
                   const std::set<std::string>& all) {
  return all.contains(event.text("flow")) &&
         !contains(upstream_events, event.name);
}

selection select(const std::vector<logged_event>& log, const std::string& id) {
  selection chosen;
  for (const auto& event : log) {
    if (event.text("request") == id || event.text("flow") == id) {
      chosen.flows.insert(event.text("flow"));
    }
  }
  for (const auto& event : log) {
    if (!is_about_flow(event, chosen.flows)) {
      continue;
    }
    for (const auto* field : {"upstream", "unanswered"}) {
      if (const auto upstream = event.text(field); !upstream.empty()) {
        chosen.upstreams.insert(upstream);
      }
    }
    chosen.nodes.insert(event.node);
    chosen.configurations.insert(event.text("configuration"));
    chosen.first_ms = chosen.first_ms == 0
                          ? event.unix_ms
                          : std::min(chosen.first_ms, event.unix_ms);
    chosen.last_ms = std::max(chosen.last_ms, event.unix_ms);
  }
  return chosen;
}

bool is_in_context(const logged_event& event, const selection& chosen) {
  return event.unix_ms + context_ms >= chosen.first_ms &&
         event.unix_ms <= chosen.last_ms;
}

bool is_selected(const logged_event& event, const selection& chosen) {
  if (is_about_flow(event, chosen.flows)) {
    return true;
  }
  if (!chosen.nodes.contains(event.node) || !is_in_context(event, chosen)) {
    return false;
  }
  if (contains(upstream_events, event.name)) {
    return chosen.upstreams.contains(event.text("upstream"));
  }
  if (event.name == "configuration_applied") {
    return chosen.configurations.contains(event.text("configuration"));
  }
  return contains(process_events, event.name);
}

/// Formats an event of a flow as a sentence.
struct finding_format {
  std::string_view name;
  std::string (*format)(const logged_event& event);
};

std::string configuration_text(const logged_event& event) {
  return " (configuration " + event.text("configuration") + ", revision " +
         event.text("revision") + ", confirmed " + event.text("age_ms") +
         " ms before)";
}

constexpr finding_format finding_formats[] = {
    {"flow_opened",
     [](const logged_event& e) {
       return "opened at upstream " + e.text("upstream") + " in " +
              e.text("data_centre") + " after " + e.text("handshake_us") +
              " us and " + e.text("attempts") + " opening packets; chosen as " +
              e.text("reason") + " of " + e.text("candidates") + " with " +
              e.text("in_flight") + " flows in flight" + configuration_text(e);
     }},
    {"flow_placed_again",
     [](const logged_event& e) {
       return "upstream " + e.text("unanswered") + " did not answer for " +
              e.text("waited_us") + " us (" + e.text("cause") +
              "); sent to upstream " + e.text("upstream") +
              configuration_text(e);
     }},
    {"flow_retagged",
     [](const logged_event& e) {
       return "open at upstream " + e.text("upstream") + "; upstream " +
              e.text("other") + " was sent its tag" + configuration_text(e);
     }},
    {"flow_refused",
     [](const logged_event& e) {
       return "refused with a reset: " + e.text("reason") + " for service " +
              e.text("service") + ", of whose upstreams " + e.text("listed") +
              " were listed, " + e.text("draining") + " draining, " +
              e.text("cold") + " cold, " + e.text("silent") + " silent, " +
              e.text("out") + " in data centres that are out" +
              configuration_text(e);
     }},
    {"flow_unanswered",
     [](const logged_event& e) {
       return "given up after " + e.text("attempts") +
              " opening packets without an answer, the last to upstream " +
              e.text("upstream") + configuration_text(e);
     }},
    {"flow_discarded",
     [](const logged_event& e) {
       return "a packet was not sent on: " + e.text("reason") +
              configuration_text(e);
     }},
    {"flow_slow",
     [](const logged_event& e) {
       return "took " + e.text("duration_us") + " us (objective " +
              e.text("objective_ms") + " ms): handshake until " +
              e.text("handshake_us") + " us, first data at " +
              e.text("first_data_us") + " us, the rest at upstream " +
              e.text("upstream") + " and on the way back";
     }},
    {"flow_failed",
     [](const logged_event& e) {
       return "failed at upstream " + e.text("upstream") + ": " +
              e.text("answer_bytes") + " bytes of an answer after " +
              e.text("waited_us") + " us, where most of the route have over " +
              e.text("usual_bytes") + configuration_text(e);
     }},
    {"flow_stalled",
     [](const logged_event& e) {
       return "no answer from upstream " + e.text("upstream") + " after " +
              e.text("waited_us") + " us, although the request was sent again" +
              configuration_text(e);
     }},
    {"flow_reset",
     [](const logged_event& e) {
       return "reset, because upstream " + e.text("upstream") +
              " had stopped answering" + configuration_text(e);
     }},
};

std::vector<std::string> findings_of(const std::vector<logged_event>& events,
                                     const selection& chosen) {
  std::vector<std::string> findings;
  for (const auto& event : events) {
    if (!is_about_flow(event, chosen.flows)) {
      continue;
    }
    const auto* found =
        std::find_if(std::begin(finding_formats), std::end(finding_formats),
                     [&](const auto& each) { return each.name == event.name; });
    if (found != std::end(finding_formats)) {
      findings.push_back(event.node + ", flow " + event.text("flow") + ": " +
                         found->format(event));
    }
  }
  return findings;
}

std::vector<std::string> missing_of(const std::vector<logged_event>& log,
                                    const selection& chosen,
                                    const std::string& id) {
  std::vector<std::string> missing;
  if (chosen.empty()) {
    missing.push_back("no line names " + id +
                      ": its lines were left out, its flow never opened (give "
                      "the flow as address:port>address:port), or the log of "
                      "its forwarder is missing");
  }
  std::set<std::string> members;
  std::set<std::string> present;
  for (const auto& event : log) {
    present.insert(event.node);
    if (event.name == "member_listed") {
      members.insert(event.text("member"));
    }
    if (event.name == "log_lines_dropped") {
      missing.push_back(event.node + " lost " + event.text("dropped") +
                        " lines by " + std::to_string(event.unix_ms));
    }
    if (!chosen.empty() && event.fields.contains("left_out") &&
        chosen.nodes.contains(event.node) && is_in_context(event, chosen)) {
      missing.push_back(event.node + " left out " + event.text("left_out") +
                        " lines of " + event.name + " by " +
                        std::to_string(event.unix_ms));
    }
  }
  for (const auto& member : members) {
    if (!present.contains(member)) {
      missing.push_back("the log of " + member + " is not given");
    }
  }
  return missing;
}

auto order_key(const logged_event& event) {
  return std::tie(event.logical_time, event.unix_ms, event.node, event.number);
}

}  // namespace

explanation explain(const std::vector<logged_event>& log,
                    const std::string& id) {
  const auto chosen = select(log, id);
  std::vector<logged_event> events;
  if (!chosen.empty()) {
    std::copy_if(log.begin(), log.end(), std::back_inserter(events),
                 [&](const auto& event) { return is_selected(event, chosen); });
  }
  std::sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
    return order_key(a) < order_key(b);
  });
  explanation result;
  result.findings = findings_of(events, chosen);
  result.missing = missing_of(log, chosen, id);
  for (auto& event : events) {
    bool certain = true;
    if (!result.events.empty()) {
      const auto& before = result.events.back().event;
      certain =
          before.run == event.run || before.logical_time < event.logical_time;
    }
    result.events.push_back({std::move(event), certain});
  }
  return result;
}

}  // namespace rosemarydrum
