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
      is_entitled_([](upstream_key) { return true; }),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed)) {}

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

void placement::set_cold_share(std::function<bool(upstream_key)> is_entitled) {
  is_entitled_ = std::move(is_entitled);
}

bool placement::accepts_flows(const known_upstream& known) const {
  return known.state == listing::listed && !known.record.draining &&
         !known.tag_is_taken && !is_out(known.record.data_centre);
}

double placement::score(const known_upstream& known, const load& loaded) const {
  const bool remote = known.record.data_centre != settings_.data_centre;
  return (loaded.in_flight + (remote ? settings_.remote_surcharge : 0.0)) /
         known.record.slots;
}

std::optional<placed> placement::choose(const std::string& service,
                                        std::optional<upstream_index> avoided,
                                        time_point now) {
  best_choice usual;
  best_choice cold;
  best_choice doubtful;
  for (const auto index : directory_.of_service(service)) {
    const auto& known = directory_.at(index);
    if (!accepts_flows(known)) {
      continue;
    }
    auto& loaded = of(index);
    const double rank = score(known, loaded);
    const bool is_cold =
        known.cold_until > now || loaded.recovering_until > now;
    const bool is_silent = loaded.health.is_silent();
    if ((is_cold || is_silent) &&
        (!loaded.cold.allows(now) || !is_entitled_(known.record.key))) {
      continue;
    }
    const placed offer{index, is_cold     ? placement_reason::cold
                              : is_silent ? placement_reason::probe
                                          : placement_reason::least_loaded};
    if (index == avoided || loaded.health.is_avoided(now)) {
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
    if (best->chosen()) {
      return best->chosen();
    }
  }
  return std::nullopt;
}

void placement::on_placed(const placed& where, time_point now) {
  auto& loaded = of(where.upstream);
  ++loaded.in_flight;
  if (where.reason != placement_reason::least_loaded) {
    loaded.cold.take(now);
  }
}

void placement::on_ended(upstream_index upstream) {
  auto& loaded = of(upstream);
  if (loaded.in_flight > 0) {
    --loaded.in_flight;
  }
}

void placement::on_answered(upstream_index upstream, duration warmup,
                            time_point sent, time_point now) {
  auto& loaded = of(upstream);
  if (loaded.health.on_answered(sent)) {
    loaded.recovering_until = now + warmup;
  }
}

void placement::on_unanswered(upstream_index upstream, time_point sent,
                              time_point now) {
  of(upstream).health.on_unanswered(sent, now);
}

void placement::on_record(upstream_index upstream, bool restarted) {
  if (restarted) {
    of(upstream).health.reset();
  }
}

void placement::forget(upstream_index upstream) { of(upstream) = {}; }

std::uint32_t placement::in_flight(upstream_index upstream) const {
  const auto position = value_of(upstream);
  return position < loads_.size() ? loads_[position].in_flight : 0;
}

bool placement::is_silent(upstream_index upstream) const {
  const auto position = value_of(upstream);
  return position < loads_.size() && loads_[position].health.is_silent();
}

placement::load& placement::of(upstream_index upstream) {
  const auto position = value_of(upstream);
  if (position >= loads_.size()) {
    loads_.resize(position + 1);
  }
  return loads_[position];
}

}  // namespace rosemarydrum
