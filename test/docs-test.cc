#define BOOST_TEST_MODULE docs
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "rosemarydrum/events/reference_pages.h"

namespace rosemarydrum {
namespace {

std::string committed(const std::string& name) {
  std::ifstream file(ROSEMARYDRUM_SOURCE_DIR "/docs/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Guards against a settings page that differs from what the programs accept.
BOOST_AUTO_TEST_CASE(settings_page_is_up_to_date) {
  BOOST_CHECK_MESSAGE(committed("settings.md") == settings_page(),
                      "run rosemarydrum-docs docs");
}

// Guards against an events page without an event that the log writes.
BOOST_AUTO_TEST_CASE(events_page_is_up_to_date) {
  BOOST_CHECK_MESSAGE(committed("events.md") == events_page_text(),
                      "run rosemarydrum-docs docs");
}

}  // namespace
}  // namespace rosemarydrum
