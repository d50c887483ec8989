#pragma once

#include <unordered_map>

#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// The result of an admission check. The pointers are valid as long as the
/// configuration.
struct admission_verdict {
  error_kind error = error_kind::none;
  /// Null if no service has the address.
  const service* target = nullptr;
  /// Null if no approval covers the caller's address.
  const approval* matched_approval = nullptr;
};

/// Admits requests of approved callers up to their approved load, with one
/// token bucket for each caller and service.
class admission {
 public:
  /// Identifies the caller by the fabric's envelope alone: of the approvals of
  /// the addressed service, the one with the longest prefix that matches the
  /// caller's address applies. Each of the `balancers` admits an equal share
  /// of the approved load, with a burst of one second. Only packets of kind
  /// `request` count towards the load.
  admission_verdict admit(const configuration& current,
                          const fabric_envelope& envelope, packet_kind kind,
                          std::size_t balancers, time_point now);

 private:
  struct bucket {
    double tokens = 0;
    time_point refilled_at;
  };
  struct bucket_key {
    service_id service;
    caller_id caller;
    friend bool operator==(const bucket_key&, const bucket_key&) = default;
  };
  struct bucket_hash {
    std::size_t operator()(const bucket_key& key) const {
      return detail::mix(value_of(key.service), value_of(key.caller));
    }
  };

  bool take_token(const service& target, const approval& match,
                  std::size_t balancers, time_point now);

  std::unordered_map<bucket_key, bucket, bucket_hash> buckets_;
};

}  // namespace rosemarydrum
