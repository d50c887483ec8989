#include "requests/request_forwarder.h"

#include "requests/refusal.h"

namespace rosemarydrum {

void request_forwarder::refuse(const remotely_owned_request& request,
                               error_kind error, actions& out) {
  const auto& header = request.datagram.header;
  out.push_back(
      send_to_caller{request.envelope,
                     make_refusal(header, error, description_of(error).outcome,
                                  request.fresh_token)});
  out.push_back(refusal_event(header, error));
}

void request_forwarder::start(const remotely_owned_request& request,
                              bool owner_live, time_point now, actions& out) {
  if (const auto known = pending_.find(request.key); known != pending_.end()) {
    // A repeat by the caller; the reply goes to its latest envelope.
    known->second.request = request;
    return;
  }
  if (pending_.size() >= max_pending) {
    refuse(request, error_kind::outcome_unknown, out);
    return;
  }
  auto& e = pending_[request.key];
  e.request = request;
  e.closing = !owner_live;
  send(e, now, out);
}

void request_forwarder::send(entry& e, time_point now, actions& out) {
  const auto& [key, envelope, datagram, owner_token, fresh] = e.request;
  ++e.tries;
  if (e.closing) {
    e.next_try = now + close_interval;
    const auto expires = owner_token.expires;
    out.push_back(send_to_peer{
        owner_token.witness.id, owner_token.witness.run,
        close_ask{key, owner_token.owner, owner_token.witness, expires}});
    return;
  }
  e.next_try = now + forward_interval;
  out.push_back(send_to_peer{owner_token.owner.id, owner_token.owner.run,
                             request_forward{1, envelope, encode(datagram)}});
}

void request_forwarder::on_forward_ack(balancer_id from,
                                       const forward_ack& ack) {
  if (const auto found = pending_.find(ack.request);
      found != pending_.end() && !found->second.closing &&
      found->second.request.owner_token.owner.id == from) {
    pending_.erase(found);
  }
}

void request_forwarder::on_close_answer(balancer_run from,
                                        const close_answer& answer,
                                        actions& out) {
  const auto found = pending_.find(answer.request);
  if (found == pending_.end() || !found->second.closing ||
      found->second.request.owner_token.witness.id != from.id) {
    return;
  }
  const auto& request = found->second.request;
  if (answer.closed) {
    auto closed =
        refusal_event(request.datagram.header, error_kind::owner_lost);
    closed.event.id = event_id::request_closed;
    closed.event.detail = value_of(request.owner_token.owner.id);
    out.push_back(closed);
  }
  refuse(request,
         answer.closed ? error_kind::owner_lost : error_kind::outcome_unknown,
         out);
  pending_.erase(found);
}

void request_forwarder::tick(time_point now, actions& out) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    auto& e = it->second;
    if (e.next_try > now) {
      ++it;
      continue;
    }
    if (!e.closing && e.tries >= forward_tries) {
      e.closing = true;
      e.tries = 0;
    }
    if (e.closing && e.tries >= close_tries) {
      refuse(e.request, error_kind::outcome_unknown, out);
      it = pending_.erase(it);
      continue;
    }
    send(e, now, out);
    ++it;
  }
}

}  // namespace rosemarydrum
