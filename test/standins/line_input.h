#pragma once

#include <unistd.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <functional>
#include <sstream>
#include <string>

namespace rosemarydrum::standins {

/// Reads commands, one per line, from standard input.
class line_input {
 public:
  /// Calls `handle` with the words of each line.
  line_input(boost::asio::io_context& context,
             std::function<void(std::istringstream)> handle)
      : input_(context, dup(STDIN_FILENO)), handle_(std::move(handle)) {
    wait();
  }

 private:
  void wait() {
    boost::asio::async_read_until(
        input_, boost::asio::dynamic_buffer(text_, 4096), '\n',
        [this](const boost::system::error_code& error, std::size_t size) {
          if (error) {
            return;  // The program keeps running without commands.
          }
          handle_(std::istringstream(text_.substr(0, size)));
          text_.erase(0, size);
          wait();
        });
  }

  boost::asio::posix::stream_descriptor input_;
  std::function<void(std::istringstream)> handle_;
  std::string text_;
};

}  // namespace rosemarydrum::standins
