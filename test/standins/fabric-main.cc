#include "address_option.h"
#include "fabric_node.h"
#include "line_input.h"
#include "program_options.h"

namespace rosemarydrum::standins {
namespace {

// Stand-in for the platform's fabric. Commands on standard input:
//   balancer DATA_ADDRESS METRICS_ADDRESS
//   loss FRACTION | delay MILLISECONDS | cut DATA_ADDRESS | mend DATA_ADDRESS
//   healthy          (prints the number of healthy balancers)
int run(int count, char** words) {
  namespace po = boost::program_options;
  address_option listen{{0x7f000001, 0}};
  std::vector<address_option> services;
  std::vector<address_option> advertised;
  link_faults faults;
  std::uint64_t seed = 1;
  po::options_description flags("fabric");
  flags.add_options()("listen", po::value(&listen),
                      "UDP address towards the balancers")(
      "service", po::value(&services), "UDP address of a service, repeatable")(
      "advertise", po::value(&advertised),
      "address that balancers see for the service, in the same order")(
      "loss", po::value(&faults.loss),
      "fraction of the datagrams that is lost")(
      "delay", po::value(&faults.delay_ms), "delay in ms in each direction")(
      "seed", po::value(&seed), "seed of the choice of balancers");
  read_flags(count, words, flags);

  boost::asio::io_context context(1);
  fabric_node node(context, listen.value, seed);
  node.set_faults(faults);
  std::cout << "listening " << address_option{node.local()} << std::endl;
  for (std::size_t i = 0; i < services.size(); ++i) {
    const auto seen = i < advertised.size() ? std::optional(advertised[i].value)
                                            : std::nullopt;
    std::cout << "service "
              << address_option{node.add_service(services[i].value, seen)}
              << std::endl;
  }
  const line_input commands(context, [&](std::istringstream line) {
    std::string word;
    address_option first;
    address_option second;
    line >> word;
    if (word == "balancer" && line >> first >> second) {
      node.add_balancer(first.value, second.value);
    } else if ((word == "loss" && line >> faults.loss) ||
               (word == "delay" && line >> faults.delay_ms)) {
      node.set_faults(faults);
    } else if ((word == "cut" || word == "mend") && line >> first) {
      node.set_cut(first.value, word == "cut");
    } else if (word == "healthy") {
      std::cout << "healthy " << node.healthy() << std::endl;
    }
  });
  context.run();
  return 0;
}

}  // namespace
}  // namespace rosemarydrum::standins

int main(int count, char** words) {
  return rosemarydrum::standins::run(count, words);
}
