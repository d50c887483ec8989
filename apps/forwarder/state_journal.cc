#include "forwarder/state_journal.h"

#include "forwarder/log_fields.h"
#include "rosemarydrum/address_text.h"
#include "rosemarydrum/spread/member_codec.h"

namespace rosemarydrum {
namespace {

namespace json = boost::json;

}  // namespace

std::int64_t state_journal::age_ms(time_point now) const {
  return whole_ms(now - replica_.confirmed_at());
}

void state_journal::on_change(const fleet_change& change, time_point now) {
  if (const auto* upstream = std::get_if<upstream_change>(&change.content)) {
    const auto& record = upstream->record;
    switch (upstream->state) {
      case record_state::present:
        log_.log(event_id::upstream_listed, now, [&] {
          return with_revision({{"upstream", text_of(record.key)},
                                {"service", record.service},
                                {"data_centre", record.data_centre},
                                {"address", to_string(record.address)},
                                {"cold_ms", record.cold_left.count()},
                                {"started_ms", value_of(record.run)},
                                {"draining", record.draining}},
                               change.changed);
        });
        return;
      case record_state::unreadable:
        log_.log(event_id::upstream_unreadable, now, [&] {
          return with_revision({{"upstream", text_of(record.key)}},
                               change.changed);
        });
        return;
      case record_state::removed:
        log_.log(event_id::upstream_gone, now, [&] {
          return with_revision({{"upstream", text_of(record.key)},
                                {"grace_ms", upstream->grace.count()}},
                               change.changed);
        });
        return;
    }
  }
  if (const auto* routes = std::get_if<configuration_change>(&change.content)) {
    configuration_ = routes->value->version;
    log_.log(event_id::configuration_applied, now, [&] {
      return with_revision({{"configuration", configuration_},
                            {"routes", routes->value->routes.size()},
                            {"age_ms", age_ms(now)}},
                           change.changed);
    });
  } else if (const auto* state =
                 std::get_if<data_centre_change>(&change.content)) {
    if (state->out) {
      log_.log(event_id::data_centre_out, now, [&] {
        return with_revision(
            {{"data_centre", state->name}, {"configuration", configuration_}},
            change.changed);
      });
      return;
    }
    log_.log(event_id::data_centre_in, now, [&] {
      const auto back_ms =
          state->back_for ? json::value(state->back_for->count()) : nullptr;
      return with_revision({{"data_centre", state->name},
                            {"back_ms", back_ms},
                            {"configuration", configuration_}},
                           change.changed);
    });
  }
}

void state_journal::on_rejected(revision changed, time_point now) {
  log_.log(event_id::document_rejected, now, [&] {
    return with_revision({{"configuration", configuration_}}, changed);
  });
}

void state_journal::on_member(const kv_item& item, time_point now) {
  const auto member =
      item.removed ? std::nullopt : decode_member(item.key, item.value);
  if (member) {
    log_.log(event_id::member_listed, now, [&] {
      return with_revision({{"member", member->name},
                            {"data_centre", member->data_centre},
                            {"address", to_string(member->address)}},
                           item.changed);
    });
    return;
  }
  log_.log(event_id::member_removed, now, [&] {
    return with_revision({{"member", item.key.substr(members_prefix.size())}},
                         item.changed);
  });
}

void state_journal::on_registered(bool written, time_point now) {
  log_.log(event_id::member_registered, now, [&] {
    return json::object{{"written", written}};
  });
}

void state_journal::on_store(error_kind error, time_point now) {
  const bool answers = error == error_kind::none;
  if (answers == store_answers_) {
    return;
  }
  store_answers_ = answers;
  if (!answers) {
    store_lost_at_ = now;
    log_.log(event_id::store_lost, now, [&] {
      return with_revision(
          {{"error", description_of(error).name}, {"age_ms", age_ms(now)}},
          replica_.at());
    });
    return;
  }
  log_.log(event_id::store_back, now, [&] {
    return with_revision({{"lost_ms", whole_ms(now - store_lost_at_)}},
                         replica_.at());
  });
}

void state_journal::on_era(store_era era, time_point now) {
  const auto previous = std::exchange(era_, era);
  if (previous == era || previous == store_era{}) {
    return;
  }
  log_.log(event_id::store_restored, now, [&] {
    return json::object{{"era", value_of(era)},
                        {"previous_era", value_of(previous)},
                        {"revision", replica_.at().number}};
  });
}

void state_journal::on_listed(const listing_effect& effect, time_point now) {
  log_.log(event_id::store_listed, now, [&] {
    return json::object{
        {"era", value_of(effect.at.era)}, {"listed", effect.at.number},
        {"items", effect.items},          {"updated", effect.updated},
        {"outdated", effect.outdated},    {"revision", replica_.at().number}};
  });
}

void state_journal::on_kept(const kept_item& kept, time_point now) {
  log_.log(event_id::lost_item_kept, now, [&] {
    return with_revision({{"item", kept.in_force.key},
                          {"removed", kept.in_force.removed},
                          {"restored_era", value_of(kept.restored.changed.era)},
                          {"restored_revision", kept.restored.changed.number},
                          {"hold_ms", rewrite_time.count()}},
                         kept.in_force.changed);
  });
}

void state_journal::on_ignored(const fleet_change& change, time_point now) {
  log_.log(event_id::configuration_ignored, now, [&] {
    return with_revision({{"configuration", configuration_}}, change.changed);
  });
}

void state_journal::on_state(bool fresh, bool reading, std::size_t rank,
                             time_point now) {
  if (fresh != fresh_) {
    fresh_ = fresh;
    if (fresh) {
      log_.log(event_id::knowledge_fresh, now, [&] {
        return with_revision({{"stale_ms", whole_ms(now - stale_since_)}},
                             replica_.at());
      });
    } else {
      stale_since_ = now;
      log_.log(event_id::knowledge_stale, now, [&] {
        return with_revision({{"age_ms", age_ms(now)}}, replica_.at());
      });
    }
  }
  if (reading != reading_) {
    reading_ = reading;
    const auto id = reading ? event_id::store_reading_started
                            : event_id::store_reading_stopped;
    log_.log(id, now, [&] {
      auto fields = with_revision({{"age_ms", age_ms(now)}}, replica_.at());
      if (reading) {
        fields["rank"] = rank;
      }
      return fields;
    });
  }
}

void state_journal::on_readiness(bool ready, std::string_view reason,
                                 time_point now) {
  if (ready == ready_) {
    return;
  }
  ready_ = ready;
  if (ready && !was_ready_) {
    was_ready_ = true;
    log_.log(event_id::process_ready, now, [&] {
      return with_revision({{"configuration", configuration_}}, replica_.at());
    });
    return;
  }
  log_.log(event_id::ready_changed, now, [&] {
    return json::object{{"ready", ready}, {"reason", reason}};
  });
}

void state_journal::on_summary(std::size_t members, std::uint64_t flows,
                               time_point now) {
  log_.log(event_id::knowledge_confirmed, now, [&] {
    return with_revision(
        {{"age_ms", age_ms(now)}, {"members", members}, {"flows", flows}},
        replica_.at());
  });
}

void state_journal::on_stall(duration stalled, time_point now) {
  log_.log(event_id::process_stalled, now, [&] {
    return json::object{{"thread", "control"},
                        {"stalled_ms", whole_ms(stalled)}};
  });
}

}  // namespace rosemarydrum
