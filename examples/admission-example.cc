#include <iostream>

#include "rosemarydrum/configuration/config_codec.h"
#include "rosemarydrum/requests/admission.h"
#include "rosemarydrum/runtime_clock.h"

namespace rosemarydrum {
namespace {

// Uses one component alone: decides which callers reach a service, from the
// same documents that operators write. Needs no daemon, socket or store.
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
    std::cerr << "the document is wrong\n";
    return 1;
  }
  configuration current;
  current.put(std::get<service>(document->value));

  admission gate;
  const auto show = [&](std::string_view from) {
    const fabric_envelope envelope{parse_endpoint(from).value(),
                                   parse_endpoint("10.0.0.1:80").value()};
    const auto verdict = gate.admit(current, envelope, packet_kind::request, 1,
                                    runtime_clock::now());
    std::cout << from << ": " << description_of(verdict.error).name << '\n';
  };
  show("10.1.2.3:5000");  // none: approved
  show("10.9.2.3:5000");  // not_approved
  show("10.1.2.3:5000");  // none
  show("10.1.2.3:5000");  // rate_limited: two requests a second are approved
  return 0;
}

}  // namespace
}  // namespace rosemarydrum

int main() { return rosemarydrum::run(); }
