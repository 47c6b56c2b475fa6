#include "entry/backend_status.hpp"

namespace bronzehub::entry {
namespace {

// A healthy server is limited by its slots alone, elsewhere.
constexpr std::uint32_t unlimited = 1U << 16U;
// A report says nothing about the load this much later.
constexpr std::chrono::milliseconds report_lifetime{500};

capacity::health_options health_options() {
    capacity::health_options options;
    // Callers wait for seconds at most: a server that is back must not be left
    // out for longer than that.
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
                 server_status{0, 0, {}, capacity::health(health_options())})
        .first->second;
}

bool backend_status::allows(std::string_view server) {
    if (!limited_.contains(server)) {
        return true;
    }
    const server_status& status = find_or_create(server);
    const std::uint32_t allowed =
        status.health.allowed(unlimited, clock_.now());
    return allowed == unlimited || status.in_flight < allowed;
}

std::uint32_t backend_status::reported(std::string_view server) {
    const server_status& status = find_or_create(server);
    return clock_.now() - status.reported_at < report_lifetime ? status.reported
                                                               : 0;
}

void backend_status::on_report(
    std::string_view server,
    const fleet_state::response_description::load_report& load) {
    server_status& status = find_or_create(server);
    status.reported = load.running + load.waiting;
    status.reported_at = clock_.now();
}

void backend_status::on_result(std::string_view server, std::uint64_t epoch,
                               bool good) {
    server_status& status = find_or_create(server);
    if (good) {
        // Doubling from one to this many successes ends the recovery.
        constexpr std::uint32_t recovered = 16;
        status.health.on_success(epoch, recovered);
    } else {
        status.health.on_failure(epoch, clock_.now());
    }
    if (status.health.state() == capacity::health_state::healthy) {
        if (const auto found = limited_.find(server); found != limited_.end()) {
            limited_.erase(found);
        }
    } else {
        limited_.emplace(server);
    }
}

void backend_status::forget(std::string_view server) {
    const auto found = servers_.find(server);
    if (found != servers_.end() && found->second.in_flight == 0) {
        limited_.erase(found->first);
        servers_.erase(found);
    }
}

}  // namespace bronzehub::entry
