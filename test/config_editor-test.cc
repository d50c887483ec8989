#define BOOST_TEST_MODULE config_editor
#include "rosemarydrum/configuration/config_editor.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "fixed_seed.h"
#include "memory_store.h"

namespace rosemarydrum {
namespace {

using test::memory_store;

// Adds an approval whose caller id is `caller`, creating the service.
edit add_approval(std::uint32_t caller) {
  edit requested;
  requested.key = service_key("s");
  requested.operation = "op-" + std::to_string(caller);
  requested.change = [caller](const configuration&, document_value& value) {
    if (value.index() == 0) {
      service created;
      created.name = "s";
      created.id = service_id(1);
      created.owner = "owner";
      created.address = {0x0a000001, 80};
      value = created;
    }
    approval item;
    item.caller = caller_id(caller);
    item.team = "team " + std::to_string(caller);
    item.source = {0x0b000000U + caller, 32};
    item.requests_per_second = 1;
    std::get<service>(value).approvals.push_back(item);
    return error_kind::none;
  };
  return requested;
}

std::vector<std::uint32_t> callers(const document& item) {
  std::vector<std::uint32_t> found;
  const auto decoded = decode_document(item.key, item.text);
  for (const auto& each :
       std::get<service>(std::get<decoded_document>(decoded).value).approvals) {
    found.push_back(value_of(each.caller));
  }
  return found;
}

struct operator_session {
  explicit operator_session(memory_store& store) : editor(store) {}
  config_editor editor;
  std::optional<edit_result> result;

  void start(edit requested, time_point now) {
    result.reset();
    editor.start(std::move(requested), now,
                 [this](const edit_result& r) { result = r; });
  }
};

struct fixture {
  memory_store store;
  operator_session first{store};
  operator_session second{store};
  time_point now{seconds(1)};

  void advance(milliseconds time) {
    for (; time > milliseconds(0); time -= milliseconds(50)) {
      now += milliseconds(50);
      first.editor.tick(now);
      second.editor.tick(now);
      store.run_all();
    }
  }
  edit_result finish(operator_session& session, edit requested) {
    session.start(std::move(requested), now);
    store.run_all();
    advance(seconds(12));
    BOOST_REQUIRE(session.result);
    return *session.result;
  }
};

// Guards against a change that is reported as failed, or made twice, because
// the answer to its write was lost.
BOOST_AUTO_TEST_CASE(lost_answer_is_recognised_by_reading_back) {
  fixture f;
  f.store.lose_answers = true;
  const auto result = f.finish(f.first, add_approval(1));
  BOOST_CHECK(result.error == error_kind::none);
  BOOST_CHECK(result.changed == revision(1));
  BOOST_CHECK_EQUAL(f.store.history.size(), 1U);
  f.store.lose_answers = false;
  BOOST_CHECK(f.finish(f.second, add_approval(1)).error == error_kind::none);
  BOOST_CHECK_EQUAL(f.store.history.size(), 1U);  // not written again
}

// Guards against a change that is reported as failed after its answer was lost
// and another operator has changed the document.
BOOST_AUTO_TEST_CASE(lost_answer_is_recognised_after_another_change) {
  fixture f;
  f.store.lose_answers = true;
  f.first.start(add_approval(1), f.now);
  f.store.run();  // list
  f.store.run();  // write
  f.store.lose_answers = false;
  BOOST_CHECK(f.finish(f.second, add_approval(2)).error == error_kind::none);
  BOOST_REQUIRE(f.first.result);
  BOOST_CHECK(f.first.result->error == error_kind::none);
  BOOST_CHECK(
      (callers(f.store.history.back()) == std::vector<std::uint32_t>{1, 2}));
}

// Guards against an edit that overwrites a concurrent one.
BOOST_AUTO_TEST_CASE(one_of_two_racing_operators_gets_a_conflict) {
  fixture f;
  BOOST_REQUIRE(f.finish(f.first, add_approval(9)).error == error_kind::none);
  f.first.start(add_approval(1), f.now);
  f.second.start(add_approval(2), f.now);
  f.advance(seconds(1));
  BOOST_CHECK(f.first.result->error == error_kind::none);
  BOOST_CHECK(f.second.result->error == error_kind::conflict);
  BOOST_CHECK(f.second.result->outcome == certainty::not_run);

  auto outdated = add_approval(3);
  outdated.expected = revision(1);
  BOOST_CHECK(f.finish(f.first, outdated).error == error_kind::conflict);
}

// Guards against an edit that fails with not_run although its write may still
// be performed.
BOOST_AUTO_TEST_CASE(outage_reports_whether_the_change_may_be_in_force) {
  fixture f;
  f.store.outage = true;
  auto result = f.finish(f.first, add_approval(1));
  BOOST_CHECK(result.error == error_kind::store_unavailable);
  BOOST_CHECK(result.outcome == certainty::not_run);

  f.store.outage = false;
  f.store.delay_writes = true;
  f.first.start(add_approval(2), f.now);
  f.store.run_all();
  f.store.outage = true;
  f.advance(seconds(12));
  BOOST_CHECK(f.first.result->error == error_kind::store_unavailable);
  BOOST_CHECK(f.first.result->outcome == certainty::unknown);
  f.store.run_delayed();
  BOOST_CHECK_EQUAL(f.store.history.size(), 1U);

  // Retries bridge a short outage.
  f.store.delay_writes = false;
  f.second.start(add_approval(3), f.now);
  f.advance(seconds(2));
  f.store.outage = false;
  f.advance(seconds(2));
  BOOST_CHECK(f.second.result->error == error_kind::none);
}

// Guards against a false not_run when more changes followed than the document
// stores operation ids, and against an unknown outcome when fewer did.
BOOST_AUTO_TEST_CASE(own_change_is_recognised_while_its_id_is_kept) {
  for (const std::uint32_t others : {max_operations - 1, max_operations}) {
    fixture f;
    BOOST_REQUIRE(f.finish(f.second, add_approval(50)).error ==
                  error_kind::none);
    f.store.lose_answers = true;
    f.first.start(add_approval(1), f.now);
    f.store.run();
    f.store.run();
    f.store.lose_answers = false;
    for (std::uint32_t i = 0; i < others; ++i) {
      operator_session other(f.store);
      other.start(add_approval(100 + i), f.now);
      f.store.run_all();
      BOOST_REQUIRE(other.result && other.result->error == error_kind::none);
    }
    f.advance(seconds(1));
    BOOST_REQUIRE(f.first.result);
    const bool kept = others < max_operations;
    BOOST_CHECK(f.first.result->error ==
                (kept ? error_kind::none : error_kind::conflict));
    BOOST_CHECK(f.first.result->outcome ==
                (kept ? certainty::not_applicable : certainty::unknown));
  }
}

// Guards against a change that conflicts with another document, and against
// existing problems that block an urgent change.
BOOST_AUTO_TEST_CASE(only_new_problems_refuse_a_change) {
  fixture f;
  f.store.history.push_back({"service/broken", "{}", revision(1)});
  BOOST_CHECK(f.finish(f.first, add_approval(1)).error == error_kind::none);
  auto wrong = add_approval(2);
  const auto add = wrong.change;
  wrong.change = [add](const configuration& current, document_value& value) {
    add(current, value);
    std::get<service>(value).upstreams.push_back(
        {upstream_id(1), data_centre_id(7), {1, 1}, 4});
    return error_kind::none;
  };
  const auto result = f.finish(f.first, wrong);
  BOOST_CHECK(result.error == error_kind::bad_document);
  BOOST_CHECK(result.outcome == certainty::not_run);
  BOOST_REQUIRE_EQUAL(result.problems.size(), 1U);
  BOOST_CHECK_EQUAL(result.problems[0].key,
                    "service/s: upstreams 1.data_centre");
  BOOST_CHECK_EQUAL(f.store.history.size(), 2U);
}

// Guards against a deletion that fails after a lost answer, because a deleted
// document has no operation ids.
BOOST_AUTO_TEST_CASE(deletion_with_a_lost_answer_succeeds) {
  fixture f;
  BOOST_REQUIRE(f.finish(f.first, add_approval(1)).error == error_kind::none);
  f.store.lose_answers = true;
  edit remove{service_key("s"),
              "op-x",
              {},
              [](const configuration&, document_value& value) {
                value = std::monostate();
                return error_kind::none;
              }};
  BOOST_CHECK(f.finish(f.first, remove).error == error_kind::none);
  BOOST_CHECK(f.store.history.back().text.empty());
  BOOST_CHECK_EQUAL(f.store.history.size(), 2U);
}

// Guards against lost updates, false successes and false not_run results of
// four concurrent operators with random faults, reordering and delayed writes.
BOOST_AUTO_TEST_CASE(no_accepted_change_is_lost) {
  BOOST_CHECK(rc::check("accepted", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto chance = [&](std::uint64_t of) { return random() % of == 0; };
    memory_store store;
    std::vector<std::unique_ptr<operator_session>> sessions;
    sessions.reserve(4);
    for (int i = 0; i < 4; ++i) {
      sessions.push_back(std::make_unique<operator_session>(store));
    }
    std::map<std::uint32_t, edit_result> results;
    std::vector<std::uint32_t> editing(sessions.size());
    std::uint32_t next = 1;
    time_point now{seconds(1)};
    for (int step = 0; step < 600; ++step) {
      now += milliseconds(100);
      const bool faults_stopped = step >= 400;
      store.outage = !faults_stopped && chance(5);
      store.lose_answers = !faults_stopped && chance(4);
      store.delay_writes = !faults_stopped && chance(6);
      store.stale.reset();
      if (!faults_stopped && chance(4)) {
        store.stale = random() % (store.history.size() + 1);
      }
      for (std::size_t i = 0; i < sessions.size(); ++i) {
        auto& session = *sessions[i];
        if (session.result && editing[i] != 0) {
          results[std::exchange(editing[i], 0)] = *session.result;
        }
        if (!faults_stopped && !session.editor.busy() && next <= 60 &&
            chance(3)) {
          editing[i] = next;
          session.start(add_approval(next++), now);
        }
        session.editor.tick(now);
      }
      while (store.waiting() > 0 && (faults_stopped || !chance(3))) {
        store.run(random() % store.waiting());
      }
      if (store.delayed() > 0 && (faults_stopped || chance(4))) {
        store.run_delayed(random() % store.delayed());
      }
    }
    RC_ASSERT(results.size() == next - 1);
    const auto documents = store.current_documents();
    const auto final = documents.contains("service/s")
                           ? callers(documents.at("service/s"))
                           : std::vector<std::uint32_t>();
    for (const auto& [caller, result] : results) {
      const auto created = std::count(final.begin(), final.end(), caller);
      RC_ASSERT(created <= 1);
      if (result.error == error_kind::none) {
        RC_ASSERT(created == 1);
        const auto after_change =
            callers(store.history.at(result.changed.number - 1));
        RC_ASSERT(
            std::count(after_change.begin(), after_change.end(), caller) == 1);
      } else if (result.outcome == certainty::not_run) {
        RC_ASSERT(created == 0);
      }
    }
    std::size_t accepted = 0;
    for (const auto& [caller, result] : results) {
      accepted += result.error == error_kind::none ? 1 : 0;
    }
    RC_CLASSIFY(accepted >= 5, "5 or more accepted");
  }));
}

}  // namespace
}  // namespace rosemarydrum
