#pragma once

#include <boost/asio/ip/address_v4.hpp>
#include <istream>
#include <ostream>
#include <string>

#include "rosemarydrum/types.h"

namespace rosemarydrum::standins {

/// An address given as an option, `a.b.c.d:port`; port 0 means any port.
struct address_option {
  endpoint value;
};

inline std::istream& operator>>(std::istream& in, address_option& to) {
  std::string text;
  in >> text;
  const auto colon = text.find(':');
  boost::system::error_code error;
  const auto host =
      boost::asio::ip::make_address_v4(text.substr(0, colon), error);
  if (error || colon == std::string::npos) {
    in.setstate(std::ios::failbit);
    return in;
  }
  to.value = {host.to_uint(), static_cast<std::uint16_t>(std::strtoul(
                                  text.c_str() + colon + 1, nullptr, 10))};
  return in;
}

inline std::ostream& operator<<(std::ostream& out, const address_option& from) {
  return out << boost::asio::ip::address_v4(from.value.address).to_string()
             << ':' << from.value.port;
}

}  // namespace rosemarydrum::standins
