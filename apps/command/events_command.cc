#include <algorithm>
#include <optional>

#include "command/documents.h"
#include "command/subcommands.h"
#include "command/wait_for_revision.h"
#include "rosemarydrum/events/event_log.h"
#include "rosemarydrum/number_text.h"

namespace rosemarydrum {
namespace {

namespace po = boost::program_options;

/// A flag of `events` and the event field that it filters by.
struct event_filter {
  const char* flag;
  const char* text;
  std::uint64_t (*field)(const event_record& event);
};

constexpr event_filter filters[] = {
    {"request", "Only events of this request.",
     [](const event_record& e) { return value_of(e.request); }},
    {"flow", "Only events of this flow.",
     [](const event_record& e) { return value_of(e.flow); }},
    {"upstream", "Only events of this upstream.",
     [](const event_record& e) -> std::uint64_t {
       return value_of(e.upstream);
     }},
    {"balancer", "Only events of this balancer's own time line.",
     [](const event_record& e) -> std::uint64_t {
       return value_of(e.process.id);
     }},
    {"data-centre", "Only events of this data centre's number.",
     [](const event_record& e) -> std::uint64_t {
       return value_of(e.data_centre);
     }},
};

/// Filter values, indexed like the filters.
using filter_values = std::vector<std::optional<std::uint64_t>>;

result<filter_values> parse_filters(const subcommand_arguments& given) {
  filter_values values;
  for (const auto& filter : filters) {
    auto& value = values.emplace_back();
    if (given.flags.count(filter.flag) > 0) {
      const auto& text = given.flags[filter.flag].as<std::string>();
      value = parse_number(text);
      if (!value) {
        return fail(error_kind::bad_settings,
                    {std::string("--") + filter.flag, text, "a number",
                     "write the number that status or events shows"});
      }
    }
  }
  return values;
}

bool matches_filters(const event_record& event, const filter_values& values) {
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (values[i] && filters[i].field(event) != *values[i]) {
      return false;
    }
  }
  return true;
}

boost::json::value number_or_null(std::uint64_t number) {
  return number == 0 ? boost::json::value() : boost::json::value(number);
}

std::vector<boost::json::value> event_row(const ordered_event& each) {
  const auto& event = each.event;
  const auto* known = find_event(event.id);
  const auto number = static_cast<std::uint64_t>(event.id);
  return {boost::json::value(each.order_certain ? "" : "?"),
          boost::json::value(event.logical_time),
          boost::json::value(event.wall_time),
          boost::json::value(value_of(event.process.id)),
          boost::json::value(number),
          boost::json::value(known != nullptr ? known->name : "unknown"),
          number_or_null(value_of(event.service)),
          number_or_null(value_of(event.flow)),
          number_or_null(value_of(event.request)),
          number_or_null(value_of(event.upstream)),
          number_or_null(value_of(event.data_centre)),
          number_or_null(event.configuration.number),
          boost::json::value(event.detail),
          number_or_null(event.suppressed)};
}

}  // namespace

void add_events_flags(po::options_description& flags) {
  for (const auto& filter : filters) {
    flags.add_options()(filter.flag, po::value<std::string>(), filter.text);
  }
}

result<report> run_events(command_context& context,
                          const subcommand_arguments& given) {
  BOOST_LEAF_AUTO(values, parse_filters(given));
  BOOST_LEAF_AUTO(centres, data_centres_to_query(context));
  report answer;
  answer.columns = {"order",  "logical",  "unix_ms", "balancer",  "event",
                    "name",   "service",  "flow",    "request",   "upstream",
                    "centre", "revision", "detail",  "suppressed"};
  std::vector<event_record> events;
  for (auto& each :
       context.fleet.events(all_balancers(centres), context.options.timeout)) {
    if (each.value) {
      events.insert(events.end(), each.value->begin(), each.value->end());
    } else {
      answer.notes.push_back("missing: " + balancer_name(each.from) + " (" +
                             each.problem + ")");
    }
  }
  // Filters before the merge, because `order_certain` must refer to the
  // preceding event in the output.
  std::erase_if(
      events, [&](const auto& each) { return !matches_filters(each, values); });
  bool uncertain = false;
  for (const auto& each : merge_events(std::move(events))) {
    uncertain = uncertain || !each.order_certain;
    answer.rows.push_back(event_row(each));
  }
  if (uncertain) {
    answer.notes.emplace_back(
        "?: it is not known whether the event is before or after the one "
        "above");
  }
  return answer;
}

}  // namespace rosemarydrum
