#include "address_option.h"
#include "program_options.h"
#include "test_caller.h"

namespace rosemarydrum::standins {
namespace {

// Stand-in for a caller. Exits when all its requests have ended.
int run(int count, char** words) {
  namespace po = boost::program_options;
  caller_options options;
  address_option source{options.source};
  address_option service;
  std::uint32_t number = 0;
  std::uint16_t priority = 1;
  bool non_idempotent = false;
  po::options_description flags("caller");
  flags.add_options()("source", po::value(&source), "UDP address to send from")(
      "service", po::value(&service)->required(), "UDP address of the service")(
      "service-id", po::value(&number)->required(), "number of the service")(
      "first-flow", po::value(&options.first_flow), "number of the first flow")(
      "flows", po::value(&options.flows), "number of concurrent flows")(
      "requests", po::value(&options.requests), "requests on each flow")(
      "interval-ms", po::value(&options.interval_ms),
      "interval between requests of a flow")(
      "deadline-ms", po::value(&options.deadline_ms), "deadline of a request")(
      "resend-ms", po::value(&options.resend_ms), "interval between resends")(
      "priority", po::value(&priority), "priority, 0 to 255")(
      "non-idempotent", po::bool_switch(&non_idempotent),
      "send non-idempotent requests");
  read_flags(count, words, flags);
  options.source = source.value;
  options.service = service.value;
  options.service_number = service_id(number);
  options.priority = static_cast<std::uint8_t>(priority);
  options.idempotent = !non_idempotent;

  boost::asio::io_context context(1);
  const test_caller caller(context, options);
  context.run();
  return 0;
}

}  // namespace
}  // namespace rosemarydrum::standins

int main(int count, char** words) {
  return rosemarydrum::standins::run(count, words);
}
