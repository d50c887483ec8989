#include "rosemarydrum/configuration/questionnaire.h"

#include <xxhash.h>

#include <algorithm>

namespace rosemarydrum {
namespace {

bool has_same_team_and_source(const approval& known, const approval& wanted) {
  return known.team == wanted.team && known.source == wanted.source;
}

refused_change not_owner(const service& target,
                         std::string_view operator_name) {
  return {error_kind::bad_settings,
          {"--operator", std::string(operator_name),
           target.owner + ", the owner of service " + target.name,
           "ask the owner to run the command"}};
}

}  // namespace

std::string questionnaire_key(std::string_view service, std::string_view team) {
  std::string key(questionnaire_prefix);
  key += service;
  key += '/';
  key += team;
  return key;
}

approval make_approval(const questionnaire& answers, const service& target) {
  // The id is a hash of the team's name: reusing the id of a revoked team would
  // let the next team see answers recorded for the former one.
  auto id = XXH32(answers.team.data(), answers.team.size(), 0);
  const auto is_unavailable = [&] {
    return id == 0 || std::any_of(target.approvals.begin(),
                                  target.approvals.end(), [&](const auto& a) {
                                    return a.caller == caller_id(id) &&
                                           a.team != answers.team;
                                  });
  };
  while (is_unavailable()) {
    ++id;
  }
  for (const auto& known : target.approvals) {
    if (known.team == answers.team) {
      id = value_of(known.caller);
      break;
    }
  }
  return {caller_id(id),        answers.team,
          answers.source,       answers.idempotent,
          answers.max_priority, answers.requests_per_second};
}

std::variant<service, refused_change> grant_approval(
    service target, const questionnaire& answers,
    std::string_view operator_name) {
  if (operator_name != target.owner) {
    return not_owner(target, operator_name);
  }
  if (answers.service != target.name) {
    return refused_change{error_kind::bad_document,
                          {"service", answers.service, target.name,
                           "submit the questionnaire again"}};
  }
  const auto wanted = make_approval(answers, target);
  for (const auto& known : target.approvals) {
    if (known.source == wanted.source && known.team != wanted.team) {
      return refused_change{
          error_kind::bad_document,
          {"source", to_string(wanted.source),
           "a prefix that is not approved for team " + known.team,
           "correct the prefix, or revoke the approval of team " + known.team}};
    }
  }
  const auto known = std::find_if(
      target.approvals.begin(), target.approvals.end(),
      [&](const auto& each) { return has_same_team_and_source(each, wanted); });
  if (known != target.approvals.end()) {
    *known = wanted;
  } else {
    target.approvals.push_back(wanted);
  }
  return target;
}

std::variant<service, refused_change> revoke_approval(
    service target, std::string_view team, std::string_view operator_name) {
  if (operator_name != target.owner) {
    return not_owner(target, operator_name);
  }
  const auto revoked = std::erase_if(
      target.approvals, [&](const auto& each) { return each.team == team; });
  if (revoked == 0) {
    return refused_change{error_kind::not_found,
                          {"team", std::string(team),
                           "a team that is approved for service " + target.name,
                           "see `rosemarydrum approval list`"}};
  }
  return target;
}

}  // namespace rosemarydrum
