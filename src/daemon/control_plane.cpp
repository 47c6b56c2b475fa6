#include "daemon/control_plane.hpp"

#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace bronzehub::daemon {
namespace {

using configuration::configuration_sync;
using configuration::configuration_update;

constexpr std::chrono::milliseconds bootstrap_retry{1000};
constexpr std::uint64_t first_version = 1;

protocol::configuration_delta delta_of(configuration_update update) {
    return {update.from_version, update.to_version, std::move(update.changes),
            std::move(update.snapshot)};
}

configuration_update update_of(const protocol::configuration_delta& delta) {
    return {delta.from_version, delta.to_version, delta.changes, delta.snapshot,
            delta.to_version};
}

std::string wall_time_text() {
    const std::string text =
        absl::FormatTime(absl::RFC3339_sec, absl::Now(), absl::UTCTimeZone());
    return text;
}

}  // namespace

control_plane::control_plane(const settings::daemon_settings& settings,
                             std::uint64_t incarnation,
                             const base::clock& clock, control_hooks hooks)
    : settings_(settings),
      incarnation_(incarnation),
      clock_(clock),
      hooks_(std::move(hooks)),
      platform_(settings.platform, clock, hooks_.post),
      store_(platform_.tables, platform_.objects),
      sync_(clock, sync_hooks(),
            {.poll_interval = settings.platform.configuration_poll_interval}),
      planner_(clock, timers_, planner_hooks(), {}),
      claims_(clock, timers_, settings.host.name, incarnation, claim_hooks(),
              {}) {
    // Until membership says otherwise.
    sync_.set_polling(true);
}

configuration_sync::hooks control_plane::sync_hooks() {
    return {
        .fetch_from_peer =
            [this](const base::host_id& peer, std::uint64_t have_version,
                   answer_callback done) {
                fetch_from_peer(peer, have_version, std::move(done));
            },
        .fetch_from_platform =
            [this](std::uint64_t have_version, answer_callback done) {
                store_.fetch(have_version, std::move(done));
            },
        .adopted =
            [this](const configuration::snapshot_pointer& next) {
                hooks_.adopted(next);
            },
    };
}

planning::planner::hooks control_plane::planner_hooks() {
    return {
        .tables = platform_.tables,
        .objects = platform_.objects,
        .current = [this] { return sync_.current(); },
        .confirmed =
            [this](const configuration_update& update) {
                sync_.on_update(update);
                hooks_.broadcast(
                    protocol::configuration_notice{update.to_version});
            },
        .new_plan_id = [this] { return new_plan_id(); },
        .wall_time = wall_time_text,
    };
}

claims::claim_registry::hooks control_plane::claim_hooks() {
    return {
        .tables = platform_.tables,
        .objects = platform_.objects,
        .owner_is_dead = hooks_.is_dead,
    };
}

std::string control_plane::new_plan_id() {
    return absl::StrCat(settings_.host.name, "-", incarnation_, "-",
                        ++plans_made_);
}

void control_plane::fetch_from_peer(const base::host_id& peer,
                                    std::uint64_t have_version,
                                    answer_callback done) {
    peer_requests_[peer] = std::move(done);
    hooks_.send(peer, protocol::configuration_request{have_version});
}

void control_plane::on_message(const base::host_id& from,
                               const protocol::configuration_notice& notice) {
    sync_.on_peer_version(from, notice.version);
}

void control_plane::on_message(const base::host_id& from,
                               const protocol::configuration_request& request) {
    auto update = sync_.log().update_for(request.have_version);
    // An empty delta tells the peer that this host has nothing newer.
    hooks_.send(from, update ? delta_of(*std::move(update))
                             : protocol::configuration_delta{});
}

void control_plane::on_message(const base::host_id& from,
                               const protocol::configuration_delta& delta) {
    const auto waiting = peer_requests_.extract(from);
    if (waiting.empty()) {
        sync_.on_update(update_of(delta));
        return;
    }
    waiting.mapped()(update_of(delta));
}

void control_plane::bootstrap() {
    if (!settings_.initial_configuration || sync_.current()) {
        return;
    }
    platform_.tables.read(
        planning::configuration_table, planning::head_key,
        [this](const absl::StatusOr<std::optional<platform::row>>& head) {
            if (!head.ok()) {
                retry_bootstrap();
            } else if (!head->has_value()) {
                write_initial_snapshot(*settings_.initial_configuration);
            }
        });
}

void control_plane::retry_bootstrap() {
    timers_.schedule(clock_.now() + bootstrap_retry, [this] { bootstrap(); });
}

void control_plane::write_initial_snapshot(std::string text) {
    platform_.objects.create(
        planning::snapshot_key(first_version), std::move(text),
        [this](const absl::StatusOr<bool>& created) {
            // An object that exists was written by another daemon or by an
            // earlier try; the head decides which content counts.
            if (created.ok() || absl::IsAborted(created.status())) {
                write_initial_head();
            } else {
                retry_bootstrap();
            }
        });
}

void control_plane::write_initial_head() {
    const planning::configuration_head head{first_version, first_version};
    platform_.tables.transact(
        {{planning::configuration_table, planning::head_key, std::nullopt,
          planning::write_head(head)}},
        [this](const absl::StatusOr<platform::transaction_result>& result) {
            if (!result.ok()) {
                retry_bootstrap();
            }
        });
}

void control_plane::tick() {
    timers_.run_due(clock_.now());
    sync_.tick();
}

nlohmann::json control_plane::dump() const {
    nlohmann::json result;
    result["configuration"] = {
        {"version", sync_.version()},
        {"state", configuration::to_string(sync_.state())},
        {"explanation", sync_.explain()},
        {"adopted", sync_.counters().adopted},
        {"stale", sync_.counters().stale},
        {"gaps", sync_.counters().gaps},
        {"invalid", sync_.counters().invalid},
        {"failed", sync_.counters().failed},
    };
    result["claims"] = {
        {"open", claims_.size()},
        {"transactions", claims_.counters().transactions},
        {"conflicts", claims_.counters().conflicts},
        {"lost_answers", claims_.counters().lost_answers},
        {"unrecorded", claims_.counters().unrecorded},
    };
    return result;
}

}  // namespace bronzehub::daemon
