#pragma once

#include <memory>

#include "queueing_model.h"

namespace rosemarydrum::bench {

/// Chooses the upstream by a hash of the flow.
std::unique_ptr<assignment> assign_by_hash();
/// Chooses each upstream with equal probability.
std::unique_ptr<assignment> assign_at_random();
/// Chooses the less loaded of two random upstreams by the counts reported every
/// `age`, corrected by the balancer's own requests since the report.
std::unique_ptr<assignment> assign_by_two_choices(duration age);
/// One slot table decides for all balancers. If `ramp` is false, releases do
/// not report resets, restarts and latencies to it.
std::unique_ptr<assignment> assign_by_decider(const model_settings& settings,
                                              bool ramp);
/// Each balancer decides with its own slot table for its share of the slots.
std::unique_ptr<assignment> assign_by_shares(const model_settings& settings);

}  // namespace rosemarydrum::bench
