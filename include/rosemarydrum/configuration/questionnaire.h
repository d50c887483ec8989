#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rosemarydrum/configuration/config_codec.h"
#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/error_kind.h"

/// How a calling team asks for approval, and how an owner grants it.
namespace rosemarydrum {

/// The answers of a calling team. Pending questionnaires are documents in the
/// store.
struct questionnaire {
  std::string service;
  std::string team;
  ip_prefix source;
  std::uint32_t requests_per_second = 1;
  /// Whether all requests of the team are idempotent.
  bool idempotent = true;
  std::uint8_t max_priority = 0;
  /// Contact for the owner's questions.
  std::string contact;
  /// The operator who submitted it; empty until then.
  std::string submitted_by;

  friend bool operator==(const questionnaire&, const questionnaire&) = default;
};

inline constexpr std::string_view questionnaire_prefix = "questionnaire/";

/// `questionnaire/<service>/<team>`.
std::string questionnaire_key(std::string_view service, std::string_view team);

/// A filled-in example to edit.
std::string questionnaire_template();

struct decoded_questionnaire {
  questionnaire value;
  /// Ids of the latest changes, the newest first.
  std::vector<std::string> operations;
};

/// Returns either the questionnaire or all invalid fields.
std::variant<decoded_questionnaire, std::vector<field_error>>
decode_questionnaire(std::string_view text);

/// Returns text that decodes to the same value.
std::string encode_questionnaire(const questionnaire& value,
                                 const std::vector<std::string>& operations);

/// Why a change is refused; nothing is written.
struct refused_change {
  error_kind error = error_kind::none;
  field_error problem;
};

/// Returns the approval that `answers` request. A team keeps its caller id; ids
/// of other teams and of revoked ones are not reused.
approval make_approval(const questionnaire& answers, const service& target);

/// Returns `target` with the approval that `answers` request. Only
/// `operator_name` equal to the service's owner may grant. An approval of the
/// same team and source is replaced.
std::variant<service, refused_change> grant_approval(
    service target, const questionnaire& answers,
    std::string_view operator_name);

/// Returns `target` without the approvals of `team`. Only the service's owner
/// may revoke.
std::variant<service, refused_change> revoke_approval(
    service target, std::string_view team, std::string_view operator_name);

}  // namespace rosemarydrum
