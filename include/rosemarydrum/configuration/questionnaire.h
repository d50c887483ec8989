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

/// The answers of a calling team. Pending ones are documents of the store.
struct questionnaire {
  std::string service;
  std::string team;
  ip_prefix source;
  std::uint32_t requests_per_second = 1;
  /// Whether all requests of the team are idempotent.
  bool idempotent = true;
  std::uint8_t max_priority = 0;
  /// Whom the owner asks back.
  std::string contact;
  /// The operator who has submitted it; empty before.
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

/// All wrong fields are reported.
std::variant<decoded_questionnaire, std::vector<field_error>>
decode_questionnaire(std::string_view text);

/// Text that decodes to the same value.
std::string encode_questionnaire(const questionnaire& value,
                                 const std::vector<std::string>& operations);

/// A change that is refused; nothing is written.
struct refused_change {
  error_kind error = error_kind::none;
  field_error problem;
};

/// The approval that `answers` ask for. A team keeps its caller id; ids of
/// other teams and of revoked ones are not used again.
approval approval_of(const questionnaire& answers, const service& target);

/// `target` with the approval that `answers` ask for. Only `operator_name`
/// equal to the service's owner may grant. An approval of the same team and
/// source is replaced.
std::variant<service, refused_change> grant_approval(
    service target, const questionnaire& answers,
    std::string_view operator_name);

/// `target` without the approvals of `team`. Only for the service's owner.
std::variant<service, refused_change> revoke_approval(
    service target, std::string_view team, std::string_view operator_name);

}  // namespace rosemarydrum
