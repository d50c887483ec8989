#include "rosemarydrum/number_text.h"
#include "rosemarydrum/settings/settings.h"

namespace rosemarydrum {
namespace {

using enum program;
using enum setting_type;

constexpr std::uint64_t max_port = 65'535;

constexpr setting_description table[] = {
    {"id", balancer, number, "", 1, 4'294'967'295, "", "", true, false,
     "Number of this balancer; unique, and kept across restarts."},
    {"data-centre", balancer, number, "", 1, 65'535, "", "", true, false,
     "Number of the data centre that this balancer runs in."},
    {"listen", balancer, address, "", 0, max_port, "", "", true, false,
     "UDP address for the fabric, upstreams and peers; port 0: any."},
    {"rpc-listen", balancer, address, "", 0, max_port, "", "", false, false,
     "TCP address for Cap'n Proto RPC. Default: data port + 1."},
    {"metrics-listen", balancer, address, "", 0, max_port, "", "", false, false,
     "TCP address for /metrics, /healthz and /readyz. Default: data port + 2."},
    {"store", both, address, "", 1, max_port, "", "", true, false,
     "Address of the platform's key-value store."},
    {"fabric", balancer, address, "", 1, max_port, "", "", true, true,
     "UDP address of a fabric port; packets from others are not trusted."},
    {"token-secret", balancer, text, "characters", 16, 256, "", "", true, false,
     "Secret that seals flow tokens; the same for all balancers. Flags are "
     "visible to other users of an instance, so set it in the environment."},
    {"peer", both, peer, "", 1, max_port, "", "", false, true,
     "Balancer that is queried while the store is unavailable: by a balancer "
     "for the configuration, by `status` and `events` instead of those listed "
     "in the store."},
    {"log-level", balancer, choice, "", 0, 0, "info|warning|error", "info",
     false, false, "Minimum severity of logged events."},
    {"output", command, choice, "", 0, 0, "table|json", "table", false, false,
     "Format of the answer."},
    {"timeout-ms", command, number, "ms", 10, 600'000, "", "5000", false, false,
     "Longest wait for the store or a balancer."},
    {"operator", command, text, "characters", 1, 64, "", "", false, false,
     "Your name, as services' documents name their owner; needed for changes."},
    {"settings-file", forwarder, text, "characters", 1, 4096, "", "", false,
     false,
     "File with further settings, read again when it changes and on SIGHUP. "
     "Default: the one that the platform names."},
    {"name", forwarder, text, "characters", 1, 100, "", "", true, false,
     "Name of this instance; unique, and kept across restarts."},
    {"data-centre", forwarder, text, "characters", 1, 100, "", "", true, false,
     "Name of the data centre that this instance runs in."},
    {"listen", forwarder, address, "", 0, max_port, "", "", true, false,
     "UDP address for the packets of callers."},
    {"ready-listen", forwarder, address, "", 0, max_port, "", "", true, false,
     "TCP address for the fabric's readiness checks."},
    {"peer-listen", forwarder, address, "", 0, max_port, "", "", true, false,
     "UDP and TCP address for other forwarders; the port is the same on all "
     "instances."},
    {"metrics-listen", forwarder, address, "", 0, max_port, "", "", false,
     false, "TCP address for metrics. Default: none are served."},
    {"store", forwarder, address, "", 1, max_port, "", "", true, false,
     "Address of the platform's key-value store."},
    {"seed", forwarder, address, "", 0, max_port, "", "", false, true,
     "An instance that may run a forwarder, queried while the store is "
     "unavailable; its port is replaced by that of peer-listen."},
    {"processor-share", forwarder, decimal, "cores", 1, 64'000, "", "0.1",
     false, false,
     "Processor cores of this instance; the instances with the most cores in a "
     "data centre read the store for the others."},
    {"flow-lifetime-s", forwarder, number, "s", 1, 86'400, "", "60", false,
     false, "Maximum time that a flow lasts."},
    {"configuration-bound-ms", forwarder, number, "ms", 100, 60'000, "", "3000",
     false, false, "Maximum time until a configuration is in force."},
    {"drain-bound-ms", forwarder, number, "ms", 100, 60'000, "", "3000", false,
     false, "A leaving upstream gets no new flows after this time."},
    {"data-centre-bound-ms", forwarder, number, "ms", 100, 60'000, "", "5000",
     false, false,
     "A data centre that operators have taken out gets no packets after this "
     "time."},
    {"stop-grace-s", forwarder, number, "s", 1, 600, "", "6", false, false,
     "A process in a planned stop is killed after this time."},
    {"cold-factor", forwarder, decimal, "", 0, 100'000, "", "1.5", false, false,
     "A cold upstream can take this many times the flows that its service "
     "states."},
    {"cold-extra", forwarder, number, "flows a second", 0, 100'000, "", "5",
     false, false, "Flows that a cold upstream can take in addition."},
    {"log-level", forwarder, choice, "", 0, 0, "info|warning|error", "info",
     false, false, "Minimum severity of logged events."},
    {"log-flows", forwarder, number, "lines a second", 0, 100'000, "", "200",
     false, false,
     "Maximum number of lines about served flows; suppressed lines are "
     "counted."},
};

}  // namespace

std::span<const setting_description> setting_table() { return table; }

std::string environment_name(std::string_view setting) {
  std::string name = "ROSEMARYDRUM_";
  for (const char c : setting) {
    name += c == '-' ? '_' : static_cast<char>(c >= 'a' ? c - 'a' + 'A' : c);
  }
  return name;
}

std::string allowed_values(const setting_description& setting) {
  const auto range = std::to_string(setting.minimum) + " to " +
                     std::to_string(setting.maximum);
  switch (setting.type) {
    case number:
      return "a number from " + range;
    case decimal:
      return "a number from " + thousandths_text(setting.minimum) + " to " +
             thousandths_text(setting.maximum) +
             " with up to three decimal places";
    case text:
      return range + " characters";
    case choice:
      return std::string(setting.choices);
    case address:
      return "numeric IPv4 address:port, port from " + range;
    case peer:
      return "id@address:port, id from 1 to 4294967295, numeric IPv4 address, "
             "port from " +
             range;
  }
  return {};
}

}  // namespace rosemarydrum
