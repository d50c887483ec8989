#define BOOST_TEST_MODULE answer_progress
#include "rosemarydrum/forwarding/answer_progress.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace rosemarydrum {
namespace {

constexpr time_point at(int ms) {
  return time_point(seconds(100) + milliseconds(ms));
}

/// A flow whose caller has acknowledged `first_acknowledged`.
struct fixture {
  static constexpr std::uint32_t first_acknowledged = 0xffff'fff0;

  fixture() { progress.open(first_acknowledged); }

  progress_event data(std::uint32_t sequence, std::size_t size, int ms,
                      std::uint32_t acknowledged = 0) {
    return packet(sequence, size, ms, acknowledged);
  }
  progress_event acknowledge(std::uint32_t bytes, int ms) {
    return packet(0, 0, ms, bytes);
  }
  progress_event packet(std::uint32_t sequence, std::size_t size, int ms,
                        std::uint32_t bytes) {
    flow_packet sent;
    sent.acknowledges = true;
    sent.sequence = sequence;
    sent.acknowledged = first_acknowledged + bytes;
    sent.data = bytes_view(buffer.data(), size);
    return progress.on_packet(sent, at(ms));
  }

  bytes buffer = bytes(1200);
  answer_progress progress;
};

// Guards against answers that are not seen, also where sequence numbers wrap.
BOOST_FIXTURE_TEST_CASE(requests_and_answers_alternate, fixture) {
  for (int i = 0; i < 4; ++i) {
    const auto number = static_cast<std::uint32_t>(i);
    BOOST_CHECK(data(100 * number, 100, 1000 * i, 50 * number) ==
                progress_event::request);
    BOOST_CHECK(progress.is_waiting());
    BOOST_CHECK_EQUAL(progress.answer_bytes(), 0U);
    BOOST_CHECK(acknowledge(50 * number + 50, 1000 * i + 20) ==
                progress_event::answer);
    BOOST_CHECK(!progress.is_waiting());
    BOOST_CHECK_EQUAL(progress.answer_bytes(), 50U);
    BOOST_CHECK(progress.answered_at() - progress.request_began() ==
                milliseconds(20));
  }
  BOOST_CHECK_EQUAL(progress.requests(), 4U);
}

// Guards against the packets of one long request that count as several, or as
// retransmissions.
BOOST_FIXTURE_TEST_CASE(a_request_may_have_several_packets, fixture) {
  BOOST_CHECK(data(0, 1200, 0) == progress_event::request);
  BOOST_CHECK(data(1200, 1200, 1) == progress_event::none);
  // Reordered packets are no retransmission.
  BOOST_CHECK(data(0, 1200, 2) == progress_event::none);
  // Both are sent again at the same time.
  BOOST_CHECK(data(0, 1200, 200) == progress_event::retransmission);
  BOOST_CHECK(data(1200, 1200, 201) == progress_event::none);
  BOOST_CHECK(data(0, 1200, 600) == progress_event::retransmission);
  BOOST_CHECK(progress.sent_at() == at(1));
  BOOST_CHECK_EQUAL(progress.requests(), 1U);
}

// Guards against an answer that counts at the time of the next request, and so
// hides that the upstream has stopped meanwhile.
BOOST_FIXTURE_TEST_CASE(requests_may_acknowledge_earlier_answers, fixture) {
  data(0, 100, 0);
  acknowledge(30, 20);
  BOOST_CHECK(data(100, 100, 5000, 40) == progress_event::request);
  BOOST_CHECK(progress.is_waiting());
  BOOST_CHECK(progress.answered_at() == at(20));
  BOOST_CHECK_EQUAL(progress.answer_bytes(), 0U);
}

// Guards against a long request over a lossy link that counts as stalled
// although the upstream receives it.
BOOST_FIXTURE_TEST_CASE(data_beyond_the_window_shows_progress, fixture) {
  BOOST_CHECK(data(0, 1200, 0) == progress_event::request);
  for (std::uint32_t i = 1; i < 16; ++i) {
    data(1200 * i, 1200, 1);
  }
  BOOST_CHECK(data(0, 1200, 200) == progress_event::retransmission);
  BOOST_CHECK(data(1200 * 16, 1200, 210) == progress_event::further_data);
  BOOST_CHECK(data(1200 * 17, 1200, 211) == progress_event::none);
  BOOST_CHECK(progress.is_waiting());
}

// Guards against a dead upstream that counts as alive: the first transmission
// of the last packet was lost on its way here.
BOOST_FIXTURE_TEST_CASE(data_within_the_window_shows_nothing, fixture) {
  data(0, 1200, 0);
  data(1200, 1200, 1);
  BOOST_CHECK(data(0, 1200, 200) == progress_event::retransmission);
  BOOST_CHECK(data(1200, 1200, 200) == progress_event::none);
  BOOST_CHECK(data(2400, 1200, 200) == progress_event::none);
}

// Guards against late copies that count as a stalled request.
BOOST_FIXTURE_TEST_CASE(copies_of_answered_requests_do_not_count, fixture) {
  data(0, 100, 0);
  acknowledge(30, 190);
  BOOST_CHECK(data(0, 100, 200) == progress_event::none);
  BOOST_CHECK(acknowledge(30, 210) == progress_event::none);
  BOOST_CHECK(!progress.is_waiting());
}

}  // namespace
}  // namespace rosemarydrum
