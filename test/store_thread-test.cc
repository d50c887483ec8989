#define BOOST_TEST_MODULE store_thread
#include "daemon/store_thread.h"

#include <boost/test/unit_test.hpp>
#include <functional>

namespace rosemarydrum {
namespace {

/// A store whose watch callback the test calls.
class fake_store : public config_store {
 public:
  void get(const std::string&, callback<store_read_result>) override {}
  void list(const std::string&, revision, callback<store_listing>) override {}
  void compare_and_swap(const store_write&,
                        callback<store_write_result>) override {}
  watch_id watch(const std::string&, revision after,
                 callback<store_listing> on_change) override {
    show = std::move(on_change);
    from = after;
    return watch_id(++watches);
  }
  void end_watch(watch_id) override { show = nullptr; }

  callback<store_listing> show;
  revision from{};
  std::uint64_t watches = 0;
};

store_listing listing(std::uint64_t after, std::uint64_t last) {
  return {error_kind::none,
          revision(after),
          revision(last),
          {{"service/a", "{}", revision(last)}}};
}

struct fixture {
  fixture() : thread(context, store, shared_rings) {}
  /// Runs the store thread's timer until `reached` returns true.
  bool run_until(const std::function<bool()>& reached) {
    const auto end = std::chrono::steady_clock::now() + seconds(20);
    while (!reached() && std::chrono::steady_clock::now() < end) {
      context.run_one_for(milliseconds(100));
    }
    return reached();
  }
  std::vector<store_event> drain_events() {
    std::vector<store_event> all;
    shared_rings.store_to_data.drain(
        [&](store_event&& event) { all.push_back(std::move(event)); });
    return all;
  }

  boost::asio::io_context context;
  fake_store store;
  thread_rings shared_rings;
  store_thread thread;
};

// Guards against a balancer that keeps its watch, which adds load to the store,
// after other balancers have become the readers.
BOOST_AUTO_TEST_CASE(watches_only_while_reads_are_requested) {
  fixture r;
  r.shared_rings.applied = revision(12);
  r.thread.start();
  BOOST_CHECK_EQUAL(r.store.watches, 1U);
  BOOST_CHECK(r.store.from == revision(12));
  r.shared_rings.reads_store = false;
  BOOST_CHECK(r.run_until([&] { return !r.store.show; }));
  r.shared_rings.reads_store = true;
  BOOST_CHECK(r.run_until([&] { return r.store.watches == 2; }));
}

// Guards against a listing passed on without its revision range, without which
// the configuration never counts as complete.
BOOST_AUTO_TEST_CASE(listing_keeps_its_range) {
  fixture r;
  r.thread.start();
  r.store.show(listing(0, 5));
  const auto shown = r.drain_events();
  BOOST_REQUIRE_EQUAL(shown.size(), 2U);
  BOOST_CHECK(std::get<store_state>(shown[0]).reachable);
  const auto& documents = std::get<store_documents>(shown[1]).documents;
  BOOST_REQUIRE_EQUAL(documents.size(), 3U);
  BOOST_CHECK(documents[0] == (document{{}, {}, revision(0)}));
  BOOST_CHECK_EQUAL(documents[1].key, "service/a");
  BOOST_CHECK(documents[2] == (document{{}, {}, revision(5)}));
}

// Guards against reporting an outage at each failed attempt, or never.
BOOST_AUTO_TEST_CASE(outage_is_reported_once) {
  fixture r;
  r.thread.start();
  store_listing failed;
  failed.error = error_kind::store_unavailable;
  r.store.show(failed);
  r.store.show(failed);
  auto shown = r.drain_events();
  BOOST_REQUIRE_EQUAL(shown.size(), 1U);
  BOOST_CHECK(!std::get<store_state>(shown[0]).reachable);
  store_listing nothing_new;
  r.store.show(nothing_new);
  shown = r.drain_events();
  BOOST_REQUIRE_EQUAL(shown.size(), 1U);
  BOOST_CHECK(std::get<store_state>(shown[0]).reachable);
}

// Guards against a change that stays lost after the ring was full.
BOOST_AUTO_TEST_CASE(lost_listing_is_read_again) {
  fixture r;
  r.thread.start();
  while (r.shared_rings.store_to_data.push(store_state{true})) {
  }
  r.store.show(listing(0, 5));
  r.drain_events();
  r.shared_rings.applied = revision(3);
  BOOST_CHECK(r.run_until([&] { return r.store.watches == 2; }));
  BOOST_CHECK(r.store.from == revision(3));
}

}  // namespace
}  // namespace rosemarydrum
