#pragma once

#include <unordered_map>

#include "rosemarydrum/configuration/configuration.h"
#include "rosemarydrum/error_kind.h"
#include "rosemarydrum/requests/packet.h"
#include "rosemarydrum/types.h"

namespace rosemarydrum {

/// What admission has found; the pointers live as long as the configuration.
struct admission_verdict {
  error_kind error = error_kind::none;
  const service* target = nullptr;
  const approval* consent = nullptr;
};

/// Lets approved callers pass, within their approved load.
class admission {
 public:
  /// Identifies the caller by the fabric's envelope alone: the approval of
  /// the service at that address with the longest matching prefix. The
  /// approved load is divided by `balancers`, with a burst of one second.
  /// Only packets of kind `request` count.
  admission_verdict admit(const configuration& current,
                          const fabric_envelope& envelope, packet_kind kind,
                          std::size_t balancers, time_point now);

 private:
  struct bucket {
    double tokens = 0;
    time_point filled;
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

  bool take(const service& target, const approval& consent,
            std::size_t balancers, time_point now);

  std::unordered_map<bucket_key, bucket, bucket_hash> buckets_;
};

}  // namespace rosemarydrum
