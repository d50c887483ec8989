#include <fstream>
#include <iostream>
#include <string>

#include "rosemarydrum/events/reference_pages.h"

/// Writes the generated reference pages settings.md and events.md to a
/// directory.
int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: rosemarydrum-docs DIRECTORY\n";
    return 2;
  }
  const std::string directory = argv[1];
  std::ofstream settings(directory + "/settings.md");
  settings << rosemarydrum::settings_page();
  std::ofstream events(directory + "/events.md");
  events << rosemarydrum::events_page_text();
  settings.close();
  events.close();
  if (!settings || !events) {
    std::cerr << "cannot write settings.md and events.md to " << directory
              << '\n';
    return 1;
  }
  return 0;
}
