#include "daemon/store_thread.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

constexpr milliseconds check_interval{100};

}  // namespace

store_thread::store_thread(boost::asio::io_context& context,
                           config_store& store, thread_rings& shared_rings)
    : store_(store), rings_(shared_rings), timer_(context) {}

void store_thread::start() { update_watch(); }

void store_thread::update_watch() {
  if (restart_pending_ || !rings_.reads_store) {
    end_watch();
  }
  if (rings_.reads_store && !watch_) {
    // Starts at the revision that peers have already sent, so that a balancer
    // that becomes a reader does not read the whole configuration again.
    begin_watch(rings_.applied.get());
  }
  timer_.expires_after(check_interval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      update_watch();
    }
  });
}

void store_thread::begin_watch(revision after) {
  delivered_revision_ = after;
  restart_pending_ = false;
  watch_ = store_.watch(
      {}, after, [this](const store_listing& listing) { on_listing(listing); });
}

void store_thread::end_watch() {
  if (watch_) {
    store_.end_watch(*watch_);
    watch_.reset();
  }
}

void store_thread::on_listing(const store_listing& listing) {
  if (restart_pending_) {
    return;
  }
  const bool reachable = listing.error == error_kind::none;
  if (reachable_ != reachable &&
      rings_.store_to_data.push(store_state{reachable})) {
    reachable_ = reachable;
  }
  if (!reachable ||
      (listing.documents.empty() && listing.last <= delivered_revision_)) {
    return;
  }
  // The first and the last item have no key; they state the range of revisions
  // that the update covers completely.
  store_documents update;
  update.documents.push_back({{}, {}, listing.after});
  update.documents.insert(update.documents.end(), listing.documents.begin(),
                          listing.documents.end());
  update.documents.push_back({{}, {}, listing.last});
  if (rings_.store_to_data.push(std::move(update))) {
    delivered_revision_ = std::max(delivered_revision_, listing.last);
  } else {
    // The ring is full and the lost listing leaves a gap: watches again from
    // the applied revision.
    restart_pending_ = true;
  }
}

}  // namespace rosemarydrum
