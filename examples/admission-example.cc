#include <iostream>

#include "rosemarydrum/configuration/config_codec.h"
#include "rosemarydrum/requests/admission.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

// Uses admission control alone, without daemon, socket or store: decides which
// callers may reach a service, from the documents that operators write.
int run() {
  const auto decoded =
      decode_document("service/hour-signal",
                      R"({"id":1,"owner":"carol","address":"10.0.0.1:80",
          "approvals":[{"caller":7,"team":"towers","source":"10.1.0.0/16",
                        "idempotent":true,"max_priority":9,
                        "requests_per_second":2}],
          "upstreams":[]})");
  const auto* document = std::get_if<decoded_document>(&decoded);
  if (document == nullptr) {
    std::cerr << "cannot decode document service/hour-signal\n";
    return 1;
  }
  configuration current;
  current.put(std::get<service>(document->value));

  admission control;
  const auto print_verdict = [&](std::string_view source) {
    const fabric_envelope envelope{parse_endpoint(source).value(),
                                   parse_endpoint("10.0.0.1:80").value()};
    const auto verdict = control.admit(current, envelope, packet_kind::request,
                                       1, runtime_clock::now());
    std::cout << source << ": " << description_of(verdict.error).name << '\n';
  };
  print_verdict("10.1.2.3:5000");  // none: approved
  print_verdict("10.9.2.3:5000");  // not_approved
  print_verdict("10.1.2.3:5000");  // none
  print_verdict("10.1.2.3:5000");  // rate_limited: 2 requests per second
  return 0;
}

}  // namespace
}  // namespace rosemarydrum

int main() { return rosemarydrum::run(); }
