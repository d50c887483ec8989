#include <boost/json/parse.hpp>

#include "command/documents.h"
#include "command/subcommands.h"

namespace rosemarydrum {
namespace {

result<questionnaire> read_answers(command_context& context,
                                   const std::string& file) {
  BOOST_LEAF_AUTO(text, read_file(context, file));
  auto decoded = decode_questionnaire(text);
  if (const auto* problems = std::get_if<std::vector<field_error>>(&decoded)) {
    return fail(error_kind::bad_document, *problems);
  }
  return std::get<decoded_questionnaire>(decoded).value;
}

}  // namespace

result<report> run_questionnaire_template(command_context&,
                                          const subcommand_arguments&) {
  report answer;
  answer.text = questionnaire_template();
  return answer;
}

result<report> run_questionnaire_check(command_context& context,
                                       const subcommand_arguments& given) {
  BOOST_LEAF_AUTO(answers, read_answers(context, given.words[0]));
  report answer;
  answer.notes = {"the questionnaire of team " + answers.team +
                  " for service " + answers.service + " is correct"};
  return answer;
}

result<report> run_questionnaire_submit(command_context& context,
                                        const subcommand_arguments& given) {
  BOOST_LEAF_AUTO(answers, read_answers(context, given.words[0]));
  BOOST_LEAF_AUTO(target, read_service(context.store, answers.service));
  answers.submitted_by = context.options.operator_name;
  stored<questionnaire> pending;
  const auto key = questionnaire_key(answers.service, answers.team);
  BOOST_LEAF_AUTO(found, context.store.get(key));
  pending.changed = found.changed;
  if (!found.text.empty()) {
    BOOST_LEAF_ASSIGN(
        pending,
        read_questionnaire(context.store, answers.service, answers.team));
    if (pending.value.submitted_by != answers.submitted_by) {
      return fail(error_kind::conflict,
                  key + " is already pending, submitted by " +
                      pending.value.submitted_by);
    }
  }
  pending.value = std::move(answers);
  BOOST_LEAF_AUTO(changed, write_questionnaire(context, pending, "submit"));
  report answer;
  answer.notes = {"revision " + std::to_string(changed.number) +
                  ": pending until " + target.value.owner +
                  ", the owner of service " + target.value.name +
                  ", runs `rosemarydrum approval grant " + target.value.name +
                  " " + pending.value.team + "`"};
  return answer;
}

}  // namespace rosemarydrum
