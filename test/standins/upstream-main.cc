#include "address_option.h"
#include "line_input.h"
#include "program_options.h"
#include "upstream_instance.h"

namespace rosemarydrum::standins {
namespace {

// Stand-in for an upstream. Commands on standard input: cold, drain.
int run(int count, char** words) {
  namespace po = boost::program_options;
  upstream_options options;
  address_option listen{options.listen};
  po::options_description flags("upstream");
  flags.add_options()("listen", po::value(&listen), "UDP address to listen on")(
      "slots", po::value(&options.slots),
      "maximum number of concurrent requests")(
      "service-ms", po::value(&options.service_ms), "mean service time in ms")(
      "parts", po::value(&options.parts), "number of parts of an answer")(
      "cold", po::bool_switch(&options.cold), "start cold")(
      "seed", po::value(&options.seed), "seed of the service times");
  read_flags(count, words, flags);
  options.listen = listen.value;

  boost::asio::io_context context(1);
  upstream_instance instance(context, options);
  const line_input commands(context, [&](std::istringstream line) {
    std::string word;
    line >> word;
    if (word == "cold") {
      instance.turn_cold();
    } else if (word == "drain") {
      instance.drain();
    }
  });
  std::cout << "listening " << address_option{instance.local()} << std::endl;
  context.run();
  return 0;
}

}  // namespace
}  // namespace rosemarydrum::standins

int main(int count, char** words) {
  return rosemarydrum::standins::run(count, words);
}
