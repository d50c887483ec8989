#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace rosemarydrum {

/// All errors. The values are part of the packet format.
enum class error_kind : std::uint8_t {
  none = 0,
  bad_packet,
  unknown_service,
  not_approved,
  rate_limited,
  token_required,
  token_invalid,
  token_expired,
  data_centre_out,
  flow_ended,
  no_capacity,
  overloaded,
  deadline_exceeded,
  owner_lost,
  outcome_unknown,
  upstream_failed,
  shutting_down,
  bad_settings,
  bad_document,
  conflict,
  not_found,
  last_data_centre,
  store_unavailable,
  timed_out,
  in_progress,
  history_lost,
  count
};

/// What an error claims about the execution of its request.
enum class certainty : std::uint8_t {
  /// The request has not run and will not run; it is safe to retry.
  not_run,
  /// The request may have run, may be running, or may still run.
  unknown,
  /// The error is not about a request.
  not_applicable,
};

/// Description of an error kind.
struct error_description {
  error_kind kind;
  std::string_view name;
  /// The strongest claim that a refusal of this kind may make.
  certainty outcome;
  /// Exit code of the operators' command-line tool.
  int exit_code;
  std::string_view text;
};

inline constexpr std::array<error_description,
                            static_cast<std::size_t>(error_kind::count)>
    error_descriptions{{
        {error_kind::none, "none", certainty::not_applicable, 0, "no error"},
        {error_kind::bad_packet, "bad_packet", certainty::not_run, 10,
         "the packet is malformed or a field is out of range"},
        {error_kind::unknown_service, "unknown_service", certainty::not_run, 11,
         "no service has this address"},
        {error_kind::not_approved, "not_approved", certainty::not_run, 12,
         "the caller is not approved for this service"},
        {error_kind::rate_limited, "rate_limited", certainty::not_run, 13,
         "the caller exceeds its approved load"},
        {error_kind::token_required, "token_required", certainty::not_run, 14,
         "a non-idempotent request needs a token; retry with this one"},
        {error_kind::token_invalid, "token_invalid", certainty::not_run, 15,
         "the token was not issued for this flow"},
        {error_kind::token_expired, "token_expired", certainty::unknown, 16,
         "the token has expired; earlier sends may have run"},
        {error_kind::data_centre_out, "data_centre_out", certainty::not_run, 17,
         "the data centre is out of service"},
        {error_kind::flow_ended, "flow_ended", certainty::not_run, 18,
         "the flow's upstream is no longer available; open a new flow"},
        {error_kind::no_capacity, "no_capacity", certainty::not_run, 19,
         "no upstream can take the request"},
        {error_kind::overloaded, "overloaded", certainty::not_run, 20,
         "the queue is full of requests of higher priority"},
        {error_kind::deadline_exceeded, "deadline_exceeded", certainty::not_run,
         21, "the deadline passed before the request was sent"},
        {error_kind::owner_lost, "owner_lost", certainty::not_run, 22,
         "the request's owner was lost before it sent the request"},
        {error_kind::outcome_unknown, "outcome_unknown", certainty::unknown, 23,
         "the request may have run"},
        {error_kind::upstream_failed, "upstream_failed", certainty::unknown, 24,
         "the upstream did not complete its answer"},
        {error_kind::shutting_down, "shutting_down", certainty::not_run, 25,
         "the balancer is shutting down"},
        {error_kind::bad_settings, "bad_settings", certainty::not_applicable, 2,
         "a setting is malformed or out of range"},
        {error_kind::bad_document, "bad_document", certainty::not_applicable, 3,
         "a document or questionnaire has an invalid field"},
        {error_kind::conflict, "conflict", certainty::not_applicable, 4,
         "another writer changed the item at the same time"},
        {error_kind::not_found, "not_found", certainty::not_applicable, 5,
         "the item does not exist"},
        {error_kind::last_data_centre, "last_data_centre",
         certainty::not_applicable, 6,
         "this is the last data centre that serves a service"},
        {error_kind::store_unavailable, "store_unavailable",
         certainty::not_applicable, 7, "the configuration store is down"},
        {error_kind::timed_out, "timed_out", certainty::not_applicable, 8,
         "no answer in time"},
        {error_kind::in_progress, "in_progress", certainty::not_applicable, 9,
         "another balancer is running this request"},
        {error_kind::history_lost, "history_lost", certainty::not_applicable, 9,
         "the store has discarded the history of what has changed"},
    }};

/// Returns the description of `kind`, or that of `none` if out of range.
constexpr const error_description& description_of(error_kind kind) {
  const auto index = static_cast<std::size_t>(kind);
  return error_descriptions[index < error_descriptions.size() ? index : 0];
}

}  // namespace rosemarydrum
