#include "entry/backend_status.hpp"

#include <algorithm>

namespace bronzehub::entry {
namespace {

// Allowance of a healthy server: practically unlimited, as the limit by its
// slots is applied elsewhere.
constexpr std::uint32_t unlimited = 1U << 16U;
// A load report is outdated after this time.
constexpr std::chrono::milliseconds report_lifetime{500};

capacity::health_options health_options() {
    capacity::health_options options;
    // Callers wait for a few seconds at most. A server that works again must
    // get requests within that time.
    options.longest_probe_interval = std::chrono::seconds(4);
    return options;
}

}  // namespace

backend_status::server_status& backend_status::find_or_create(
    std::string_view server) {
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        return found->second;
    }
    return servers_
        .emplace(std::string(server),
                 server_status{
                     0, 0, {}, capacity::health(health_options()), {}, {}, {}})
        .first->second;
}

bool backend_status::allows_request(std::string_view server) {
    if (is_paused(server)) {
        return false;
    }
    if (!limited_servers_.contains(server)) {
        return true;
    }
    const server_status& status = find_or_create(server);
    const std::uint32_t allowed =
        status.health.allowed(unlimited, clock_.now());
    return allowed == unlimited || status.in_flight < allowed;
}

std::uint32_t backend_status::reported_load(std::string_view server) {
    const server_status& status = find_or_create(server);
    return clock_.now() - status.reported_at < report_lifetime
               ? status.reported_load
               : 0;
}

void backend_status::on_weights_report(std::string_view server,
                                       std::uint64_t weights) {
    server_status& status = find_or_create(server);
    status.weights = weights;
    status.weights_reported_at = clock_.now();
}

bool backend_status::has_other_weights(std::string_view server,
                                       std::uint64_t weights) {
    const server_status& status = find_or_create(server);
    return status.weights && *status.weights != weights &&
           clock_.now() - status.weights_reported_at < weights_report_lifetime;
}

void backend_status::on_load_report(
    std::string_view server,
    const fleet_state::response_description::load_report& load) {
    server_status& status = find_or_create(server);
    status.reported_load = load.running + load.waiting;
    status.reported_at = clock_.now();
    if (load.pace_percent) {
        status.pace.on_report(*load.pace_percent, clock_.now());
    }
}

double backend_status::pace(std::string_view server) {
    return find_or_create(server).pace.ratio(clock_.now());
}

void backend_status::on_result(std::string_view server, std::uint64_t epoch,
                               bool success) {
    server_status& status = find_or_create(server);
    if (success) {
        // The allowance of a recovering server doubles from one with each
        // success; at this value the server counts as healthy.
        constexpr std::uint32_t recovered_allowance = 16;
        status.health.on_success(epoch, recovered_allowance);
    } else {
        status.health.on_failure(epoch, clock_.now());
    }
    if (status.health.state() == capacity::health_state::healthy) {
        if (const auto found = limited_servers_.find(server);
            found != limited_servers_.end()) {
            limited_servers_.erase(found);
        }
    } else {
        limited_servers_.emplace(server);
    }
}

void backend_status::pause(std::string_view server, base::duration length) {
    const base::time_point now = clock_.now();
    std::erase_if(paused_until_,
                  [now](const auto& entry) { return entry.second <= now; });
    length = std::min<base::duration>(length, max_pause);
    if (length > remaining_pause(server)) {
        paused_until_.insert_or_assign(std::string(server), now + length);
    }
}

base::duration backend_status::remaining_pause(std::string_view server) const {
    const auto found = paused_until_.find(server);
    return found == paused_until_.end()
               ? base::duration(0)
               : std::max(found->second - clock_.now(), base::duration(0));
}

void backend_status::end_pause(std::string_view server) {
    if (const auto found = paused_until_.find(server);
        found != paused_until_.end()) {
        paused_until_.erase(found);
    }
}

void backend_status::remove(std::string_view server) {
    end_pause(server);
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    found->second.weights.reset();
    if (found->second.in_flight == 0) {
        limited_servers_.erase(found->first);
        servers_.erase(found);
    }
}

}  // namespace bronzehub::entry
