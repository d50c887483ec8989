#include "rosemarydrum/forwarding/placement.h"

#include <algorithm>

namespace rosemarydrum {
namespace {

/// The best upstream of a kind; equally good ones are chosen at random.
class best_choice {
 public:
  void offer(const placed& candidate, double score, std::minstd_rand& random) {
    if (!chosen_ || score < score_) {
      equal_ = 1;
      score_ = score;
      chosen_ = candidate;
    } else if (score == score_ && random() % ++equal_ == 0) {
      chosen_ = candidate;
    }
  }
  const std::optional<placed>& chosen() const { return chosen_; }

 private:
  std::uint32_t equal_ = 0;
  double score_ = 0;
  std::optional<placed> chosen_;
};

}  // namespace

placement::placement(placement_settings settings,
                     const upstream_directory& directory)
    : settings_(std::move(settings)),
      directory_(directory),
      share_(settings_.self),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed)) {}

void placement::set_members(const std::vector<std::string>& names) {
  share_.set_members(names);
}

void placement::set_out(const std::string& data_centre, bool out) {
  if (out) {
    out_.insert(data_centre);
  } else {
    out_.erase(data_centre);
  }
}

bool placement::is_out(const std::string& data_centre) const {
  return out_.contains(data_centre);
}

void placement::spare(const std::string& data_centre, duration time,
                      time_point now) {
  directory_.for_each([&](upstream_index index, const known_upstream& known) {
    if (known.record.data_centre == data_centre) {
      of(index).spared_until = now + time;
    }
  });
}

bool placement::has_cold_share(double cold_rate, upstream_key upstream,
                               const load& loaded, bool is_cold,
                               time_point now) const {
  const double bears = cold_rate * settings_.cold_factor + settings_.cold_extra;
  if (is_cold) {
    return share_.is_sponsor(upstream) &&
           now - loaded.cold_flow_at >= fleet_share::sponsor_period(bears);
  }
  return now - loaded.cold_flow_at >= share_.member_period(bears);
}

double placement::score(const known_upstream& known, const load& loaded,
                        const flow_time_estimate& usual, time_point now) const {
  const bool is_remote = known.record.data_centre != settings_.data_centre;
  const double flows = loaded.in_flight + (is_remote ? remote_surcharge : 0.0);
  const double slowness = loaded.flow_time.slowness(usual, now);
  // A slow upstream counts as if it had further flows already.
  return (flows * slowness + slowness - 1) / known.record.slots;
}

std::optional<placed> placement::choose(const std::string& service,
                                        double cold_rate,
                                        std::optional<upstream_index> before,
                                        bool may_repeat, time_point now) {
  best_choice usual;
  best_choice cold;
  best_choice doubtful;
  std::uint32_t candidates = 0;
  const auto& usual_time = service_flow_time_[service];
  for (const auto index : directory_.of_service(service)) {
    const auto& known = directory_.at(index);
    if (!known.takes_flows(confirmed_) || is_out(known.record.data_centre) ||
        (index == before && !may_repeat)) {
      continue;
    }
    auto& loaded = of(index);
    const bool is_cold = known.cold_until > now || loaded.spared_until > now;
    const bool is_silent = loaded.health.is_silent();
    if ((is_cold || is_silent) &&
        !has_cold_share(cold_rate, known.record.key, loaded, is_cold, now)) {
      continue;
    }
    const placed offer{index,
                       is_cold     ? placement_reason::cold
                       : is_silent ? placement_reason::probe
                                   : placement_reason::least_loaded,
                       loaded.in_flight};
    ++candidates;
    const double rank = score(known, loaded, usual_time, now);
    if (index == before || loaded.health.is_avoided(now) ||
        failing_.is_ejected(index)) {
      doubtful.offer(offer, rank, random_);
    } else if (is_cold) {
      cold.offer(offer, rank, random_);
    } else {
      // A silent upstream is tried again in its turn; waiting until nothing
      // else is left would keep it out for good.
      usual.offer(offer, rank, random_);
    }
  }
  for (const auto* best : {&usual, &cold, &doubtful}) {
    if (auto chosen = best->chosen()) {
      chosen->candidates = candidates;
      return chosen;
    }
  }
  return std::nullopt;
}

void placement::on_placed(upstream_index upstream, bool uses_cold_share,
                          time_point now) {
  auto& loaded = of(upstream);
  ++loaded.in_flight;
  if (uses_cold_share) {
    loaded.cold_flow_at = now;
  }
}

void placement::on_ended(upstream_index upstream) {
  auto& loaded = of(upstream);
  if (loaded.in_flight > 0) {
    --loaded.in_flight;
  }
}

void placement::on_flow_time(upstream_index upstream, duration took,
                             time_point now) {
  of(upstream).flow_time.add(took, now);
  service_flow_time_[directory_.at(upstream).record.service].add(took, now);
}

bool placement::on_answered(upstream_index upstream, duration warmup,
                            time_point sent, time_point now) {
  auto& loaded = of(upstream);
  const bool was_silent = loaded.health.on_answered(sent);
  if (was_silent) {
    loaded.spared_until = std::max(loaded.spared_until, now + warmup);
  }
  return was_silent;
}

bool placement::on_unanswered(upstream_index upstream, time_point sent,
                              time_point now) {
  auto& loaded = of(upstream);
  const bool became_silent = loaded.health.on_unanswered(sent, now);
  if (became_silent) {
    // All members notice at about the same time, and must not try it again at
    // the same time.
    const auto period = share_.member_period(settings_.cold_extra);
    const auto part = static_cast<double>(random_() - random_.min()) /
                      static_cast<double>(random_.max() - random_.min());
    loaded.cold_flow_at =
        now - duration(static_cast<duration::rep>(
                  part * static_cast<double>(period.count())));
  }
  return became_silent;
}

bool placement::on_failures(upstream_index upstream, std::uint32_t failures,
                            time_point now) {
  const auto& service = directory_.at(upstream).record.service;
  return failing_.add(upstream, failures, directory_.of_service(service), now);
}

void placement::on_record(upstream_index upstream) {
  of(upstream).health.reset();
}

void placement::forget_silence() {
  for (auto& loaded : loads_) {
    loaded.health.reset();
  }
}

void placement::forget(upstream_index upstream) {
  of(upstream) = {};
  failing_.forget(upstream);
}

std::uint32_t placement::in_flight(upstream_index upstream) const {
  const auto position = value_of(upstream);
  return position < loads_.size() ? loads_[position].in_flight : 0;
}

int placement::unanswered(upstream_index upstream) const {
  const auto position = value_of(upstream);
  return position < loads_.size() ? loads_[position].health.unanswered() : 0;
}

bool placement::is_silent(upstream_index upstream) const {
  const auto position = value_of(upstream);
  return position < loads_.size() && loads_[position].health.is_silent();
}

upstream_census placement::census(const std::string& service,
                                  time_point now) const {
  upstream_census counted;
  for (const auto index : directory_.of_service(service)) {
    const auto& known = directory_.at(index);
    const auto position = value_of(index);
    const bool is_spared =
        position < loads_.size() && loads_[position].spared_until > now;
    counted.listed += known.state == listing::listed ? 1 : 0;
    counted.draining += known.record.draining ? 1 : 0;
    counted.cold += known.cold_until > now || is_spared ? 1 : 0;
    counted.silent += is_silent(index) ? 1 : 0;
    const bool out = is_out(known.record.data_centre);
    counted.out += out ? 1 : 0;
    counted.unreachable +=
        !out && known.takes_flows(confirmed_) && is_silent(index) ? 1 : 0;
  }
  return counted;
}

placement::load& placement::of(upstream_index upstream) {
  const auto position = value_of(upstream);
  if (position >= loads_.size()) {
    loads_.resize(position + 1);
  }
  return loads_[position];
}

}  // namespace rosemarydrum
