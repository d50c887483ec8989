#include "daemon/http_config_store.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iterator>
#include <utility>

#include "daemon/store_answer.h"
#include "daemon/store_json.h"
#include "daemon/store_poller.h"

namespace rosemarydrum {
namespace {

namespace http = boost::beast::http;

constexpr seconds call_deadline{3};
// 16 pages of 4 MB, which exceeds all documents at the design scale.
constexpr std::size_t max_listing_bytes = 64'000'000;

store_write_result parse_write_answer(const http_answer& answer) {
  const auto error = error_of(answer);
  if (error == error_kind::none) {
    if (const auto changed = store_json::read_revision(answer.body)) {
      return {error, certainty::not_applicable, *changed};
    }
    return {error_kind::store_unavailable, certainty::unknown, {}};
  }
  // A response status can state that the write was not performed. Without a
  // response, only a write that was never sent is certainly not performed.
  const bool refused = states_not_performed(answer.status);
  const bool certain =
      answer.error == error_kind::none ? refused : !answer.sent;
  return {error, certain ? certainty::not_run : certainty::unknown, {}};
}

}  // namespace

http_config_store::http_config_store(boost::asio::io_context& io,
                                     boost::asio::ip::tcp::endpoint server)
    : io_(io),
      server_(std::move(server)),
      calls_(std::make_shared<http_connection>(io, server_)) {}

http_config_store::~http_config_store() {
  calls_->close();
  for (auto& [id, poller] : watches_) {
    poller->stop();
  }
}

void http_config_store::get(const std::string& key,
                            callback<store_read_result> done) {
  calls_->call({http::verb::get,
                "/v1/keys/" + store_json::escape(key),
                {},
                call_deadline},
               [done = std::move(done)](const http_answer& answer) {
                 store_read_result read{error_of(answer), {}};
                 if (read.error == error_kind::none) {
                   auto value = store_json::read_document(answer.body);
                   if (value) {
                     read.value = std::move(*value);
                   } else {
                     read.error = error_kind::store_unavailable;
                   }
                 }
                 done(read);
               });
}

void http_config_store::list(const std::string& prefix, revision after,
                             callback<store_listing> done) {
  list_page(prefix, {error_kind::none, after, after, {}}, std::move(done));
}

void http_config_store::list_page(const std::string& prefix,
                                  store_listing so_far,
                                  callback<store_listing> done) {
  const auto target = range_target("/v1/list", prefix, so_far.last);
  calls_->call({http::verb::get, target, {}, call_deadline},
               [this, prefix, so_far = std::move(so_far),
                done = std::move(done)](const http_answer& answer) mutable {
                 bool more = false;
                 auto page = listing_of(answer, so_far.last, more);
                 so_far.error = page.error;
                 so_far.last = page.last;
                 so_far.documents.insert(
                     so_far.documents.end(),
                     std::make_move_iterator(page.documents.begin()),
                     std::make_move_iterator(page.documents.end()));
                 std::size_t bytes = 0;
                 for (const auto& item : so_far.documents) {
                   bytes += item.text.size();
                 }
                 if (more && bytes < max_listing_bytes) {
                   list_page(prefix, std::move(so_far), std::move(done));
                   return;
                 }
                 if (more) {
                   so_far.error = error_kind::store_unavailable;
                 }
                 done(so_far);
               });
}

void http_config_store::compare_and_swap(const store_write& write,
                                         callback<store_write_result> done) {
  const auto target = "/v1/keys/" + store_json::escape(write.key) +
                      "?expected=" + std::to_string(write.expected.number) +
                      "&operation=" + store_json::escape(write.operation);
  auto body = boost::json::serialize(boost::json::object{{"text", write.text}});
  calls_->call({http::verb::put, target, std::move(body), call_deadline},
               [done = std::move(done)](const http_answer& answer) {
                 done(parse_write_answer(answer));
               });
}

watch_id http_config_store::watch(const std::string& prefix, revision after,
                                  callback<store_listing> on_change) {
  const auto id = ++last_watch_;
  const auto poller = std::make_shared<store_poller>(
      io_, server_, prefix, after, std::move(on_change));
  watches_.emplace(id, poller);
  poller->poll();
  return watch_id(id);
}

void http_config_store::end_watch(watch_id id) {
  if (const auto found = watches_.find(value_of(id)); found != watches_.end()) {
    found->second->stop();
    watches_.erase(found);
  }
}

}  // namespace rosemarydrum
