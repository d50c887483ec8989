#include <algorithm>
#include <map>

#include "configuration/field_reader.h"
#include "rosemarydrum/configuration/config_codec.h"

namespace rosemarydrum {
namespace {

using detail::add_problem;
using detail::problem_list;

bool overlaps(const ip_prefix& a, const ip_prefix& b) {
  return a.length <= b.length ? a.contains(b.address) : b.contains(a.address);
}

// Reports ids and addresses that are used more than once, upstreams in unknown
// data centres, and overlapping prefixes of different teams.
class document_checker {
 public:
  explicit document_checker(problem_list& problems) : problems_(problems) {}

  void add(const std::string& key, const data_centre& value) {
    use("data centre " + std::to_string(value_of(value.id)), key, "id",
        "choose another id");
    data_centre_ids_.push_back(value.id);
    for (const auto& item : value.balancers) {
      const auto id = std::to_string(value_of(item.id));
      use("balancer " + id, key, "balancers " + id + ".id",
          "list the balancer in one data centre");
      use_address(item.address, key, "balancers " + id + ".address");
    }
  }

  void add(const std::string& key, const service& value) {
    use("service " + std::to_string(value_of(value.id)), key, "id",
        "choose another id");
    use_address(value.address, key, "address");
    for (const auto& item : value.upstreams) {
      use_address(
          item.address, key,
          "upstreams " + std::to_string(value_of(item.id)) + ".address");
    }
    check_sources(key, value);
  }

  // Must be called after all data centres are added.
  void check_data_centres(const std::string& key, const service& value) {
    for (const auto& item : value.upstreams) {
      if (std::find(data_centre_ids_.begin(), data_centre_ids_.end(),
                    item.data_centre) == data_centre_ids_.end()) {
        add_problem(problems_,
                    {key + ": upstreams " + std::to_string(value_of(item.id)) +
                         ".data_centre",
                     std::to_string(value_of(item.data_centre)),
                     "the id of a data centre document",
                     "create the data centre first or choose another"});
      }
    }
  }

 private:
  void use(const std::string& resource, const std::string& key,
           const std::string& field, const char* fix) {
    const auto place = key + ": " + field;
    const auto [first, inserted] = uses_.try_emplace(resource, place);
    if (!inserted) {
      add_problem(problems_,
                  {place, resource, "not used by " + first->second, fix});
    }
  }

  void use_address(const endpoint& address, const std::string& key,
                   const std::string& field) {
    use("address " + to_string(address), key, field, "choose another address");
  }

  // Two prefixes overlap only if one contains the other. In order of the first
  // address, the prefixes that contain the current one form a stack.
  void check_sources(const std::string& key, const service& value) {
    std::vector<const approval*> sorted;
    for (const auto& item : value.approvals) {
      sorted.push_back(&item);
    }
    std::sort(sorted.begin(), sorted.end(),
              [](const approval* a, const approval* b) {
                return std::pair(a->source.address, a->source.length) <
                       std::pair(b->source.address, b->source.length);
              });
    std::vector<const approval*> enclosing;
    for (const auto* item : sorted) {
      while (!enclosing.empty() &&
             !overlaps(enclosing.back()->source, item->source)) {
        enclosing.pop_back();
      }
      for (const auto* outer : enclosing) {
        if (outer->team != item->team) {
          add_problem(problems_, {key + ": approvals " + item->team + ".source",
                                  to_string(item->source),
                                  "outside " + to_string(outer->source) +
                                      " of team " + outer->team,
                                  "correct the prefix of one team"});
        }
      }
      enclosing.push_back(item);
    }
  }

  problem_list& problems_;
  std::map<std::string, std::string> uses_;
  std::vector<data_centre_id> data_centre_ids_;
};

}  // namespace

std::vector<field_error> check_documents(std::span<const document> documents) {
  problem_list problems;
  document_checker checker(problems);
  std::vector<std::pair<const std::string*, service>> services;
  for (const auto& item : documents) {
    auto result = decode_document(item.key, item.text);
    if (auto* wrong = std::get_if<problem_list>(&result)) {
      for (auto& problem : *wrong) {
        problem.key = item.key + ": " + problem.key;
        add_problem(problems, std::move(problem));
      }
      continue;
    }
    auto& value = std::get<decoded_document>(result).value;
    if (const auto* centre = std::get_if<data_centre>(&value)) {
      checker.add(item.key, *centre);
    } else if (auto* found = std::get_if<service>(&value)) {
      checker.add(item.key, *found);
      services.emplace_back(&item.key, std::move(*found));
    }
  }
  for (const auto& [key, value] : services) {
    checker.check_data_centres(*key, value);
  }
  return problems;
}

std::vector<field_error> check_change(std::vector<document> documents,
                                      const document& changed) {
  auto own = decode_document(changed.key, changed.text);
  if (auto* problems = std::get_if<problem_list>(&own)) {
    return std::move(*problems);
  }
  const auto before = check_documents(documents);
  if (before.size() >= max_problems) {
    return {};  // `before` is truncated: new problems cannot be told apart
  }
  std::erase_if(documents,
                [&](const auto& item) { return item.key == changed.key; });
  documents.push_back(changed);
  auto after = check_documents(documents);
  std::erase_if(after, [&](const auto& problem) {
    return std::find(before.begin(), before.end(), problem) != before.end();
  });
  return after;
}

}  // namespace rosemarydrum
