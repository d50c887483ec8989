#include <algorithm>

#include "command/documents.h"
#include "command/subcommands.h"
#include "rosemarydrum/number_text.h"

namespace rosemarydrum {
namespace {

result<report> set_state(command_context& context,
                         const subcommand_arguments& given,
                         service_state state) {
  BOOST_LEAF_AUTO(target, read_service(context.store, given.words[0]));
  const auto id = parse_number(given.words[1]);
  auto changed = target.value;
  const auto found = std::find_if(
      changed.upstreams.begin(), changed.upstreams.end(),
      [&](const auto& each) { return id && value_of(each.id) == *id; });
  if (found == changed.upstreams.end()) {
    return fail(error_kind::not_found,
                {"UPSTREAM", given.words[1],
                 "the id of an upstream of service " + target.value.name,
                 "see `rosemarydrum service show " + target.value.name + "`"});
  }
  const auto name = "upstream " + given.words[1];
  const auto word = std::string(name_of(state));
  report answer;
  if (found->state == state) {
    answer.notes = {name + " is already " + word + "; nothing is written"};
    return answer;
  }
  found->state = state;
  BOOST_LEAF_AUTO(revised, write_service(context, changed, target.changed,
                                         "upstream-" + word));
  answer.notes = {"revision " + std::to_string(revised.number) + ": " + name +
                  (state == service_state::out
                       ? " gets no new work and finishes what runs"
                       : " gets work again, at first one request at a "
                         "time")};
  return answer;
}

}  // namespace

result<report> run_upstream_out(command_context& context,
                                const subcommand_arguments& given) {
  return set_state(context, given, service_state::out);
}

result<report> run_upstream_in(command_context& context,
                               const subcommand_arguments& given) {
  return set_state(context, given, service_state::in);
}

}  // namespace rosemarydrum
