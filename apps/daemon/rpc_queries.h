#pragma once

#include <kj/async.h>
#include <kj/debug.h>
#include <kj/timer.h>

#include <map>

#include "daemon/thread_rings.h"

namespace rosemarydrum {

/// Pending queries of one kind to the data thread, at most 64. A query that the
/// data thread does not answer within 2 s fails.
template <typename Query, typename Reply>
class rpc_queries {
 public:
  rpc_queries(thread_rings& shared_rings, kj::Timer& timer)
      : rings_(shared_rings), timer_(timer) {}

  /// Sends `query` with a new number, which the reply repeats.
  kj::Promise<Reply> ask(Query query) {
    for (auto at = pending_.begin(); at != pending_.end();) {
      at = at->second->isWaiting() ? std::next(at) : pending_.erase(at);
    }
    query.query = ++last_query_;
    if (pending_.size() >= max_pending ||
        !rings_.rpc_to_data.push(rpc_event(query))) {
      return KJ_EXCEPTION(OVERLOADED, "too many calls");
    }
    auto paf = kj::newPromiseAndFulfiller<Reply>();
    pending_.emplace(last_query_, kj::mv(paf.fulfiller));
    return timer_.timeoutAfter(2 * kj::SECONDS, kj::mv(paf.promise));
  }

  void on_reply(Reply&& reply) {
    if (const auto found = pending_.find(reply.query);
        found != pending_.end()) {
      auto fulfiller = kj::mv(found->second);
      pending_.erase(found);
      fulfiller->fulfill(kj::mv(reply));
    }
  }

 private:
  static constexpr std::size_t max_pending = 64;

  thread_rings& rings_;
  kj::Timer& timer_;
  std::uint64_t last_query_ = 0;
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<Reply>>> pending_;
};

}  // namespace rosemarydrum
