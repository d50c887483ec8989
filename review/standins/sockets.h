#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace review {

/// An IPv4 address in host byte order.
inline std::uint32_t ip_of(const std::string& text) {
  in_addr parsed{};
  if (inet_pton(AF_INET, text.c_str(), &parsed) != 1) {
    throw std::runtime_error("not an address: " + text);
  }
  return ntohl(parsed.s_addr);
}

inline std::string ip_text(std::uint32_t ip) {
  in_addr address{htonl(ip)};
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address, text, sizeof text);
  return text;
}

inline sockaddr_in socket_address(std::uint32_t ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(ip);
  address.sin_port = htons(port);
  return address;
}

/// Binds a non-blocking socket of `type`; -1 if the port is in use.
inline int bind_socket(int type, std::uint32_t ip, std::uint16_t port) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (type == SOCK_STREAM) {
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  } else {
    const int size = 4 << 20;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  }
  const auto address = socket_address(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int require_socket(int type, std::uint32_t ip, std::uint16_t port) {
  const int fd = bind_socket(type, ip, port);
  if (fd < 0) {
    throw std::runtime_error("cannot bind " + ip_text(ip) + ":" +
                             std::to_string(port));
  }
  return fd;
}

/// A port that is free for UDP and TCP on the loopback address.
inline std::uint16_t free_port() {
  for (;;) {
    const int fd = require_socket(SOCK_STREAM, INADDR_LOOPBACK, 0);
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
    const auto port = ntohs(bound.sin_port);
    const int other = bind_socket(SOCK_DGRAM, INADDR_LOOPBACK, port);
    close(fd);
    if (other >= 0) {
      close(other);
      return port;
    }
  }
}

}  // namespace review
