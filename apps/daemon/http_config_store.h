#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "io/http_connection.h"
#include "rosemarydrum/configuration/config_store.h"

namespace rosemarydrum {

class store_poller;

/// A config_store client over HTTP (docs/store-protocol.md). Calls share one
/// connection, and each watch has its own. Used only on the thread of `io`. The
/// destructor drops calls in progress without calling back.
class http_config_store : public config_store {
 public:
  http_config_store(boost::asio::io_context& io,
                    boost::asio::ip::tcp::endpoint server);
  ~http_config_store() override;

  void get(const std::string& key, callback<store_read_result> done) override;
  void list(const std::string& prefix, revision after,
            callback<store_listing> done) override;
  void compare_and_swap(const store_write& write,
                        callback<store_write_result> done) override;
  /// Long-polls for 1 s at a time. A poll that gets no answer within 2 s is
  /// repeated on a new connection at once; after any other failure the next
  /// poll waits for 1 s.
  watch_id watch(const std::string& prefix, revision after,
                 callback<store_listing> on_change) override;
  void end_watch(watch_id id) override;

 private:
  void list_page(const std::string& prefix, store_listing so_far,
                 callback<store_listing> done);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  std::shared_ptr<http_connection> calls_;
  std::uint64_t last_watch_ = 0;
  std::map<std::uint64_t, std::shared_ptr<store_poller>> watches_;
};

}  // namespace rosemarydrum
