#include "daemon/replica_slots.hpp"

#include <algorithm>
#include <set>

namespace bronzehub::daemon {
namespace {

capacity::capacity_options options_of(
    const configuration::backend_server& server,
    const configuration::service* service) {
    capacity::capacity_options options;
    options.slots.initial_slots = server.initial_slots;
    options.slots.most_slots = server.maximum_slots;
    if (service != nullptr) {
        options.slots.target_unit_time =
            service->kind == configuration::service_kind::model
                ? service->target_between_tokens
                : service->target_first_token;
    }
    return options;
}

capacity::call_result result_of(protocol::release_reason reason) {
    switch (reason) {
        case protocol::release_reason::unused:
            return capacity::call_result::unused;
        case protocol::release_reason::completed:
            return capacity::call_result::completed;
        case protocol::release_reason::failed:
            return capacity::call_result::failed;
    }
    return capacity::call_result::unused;
}

}  // namespace

void replica_slots::set_servers(
    std::span<const configuration::backend_server* const> servers,
    const configuration::configuration_snapshot& configuration) {
    std::set<base::backend_server_id> kept;
    for (const auto* server : servers) {
        kept.insert(server->id);
        replicas_.try_emplace(
            server->id,
            replica{
                .capacity = capacity::replica_capacity(
                    options_of(*server, configuration.find(server->service)),
                    clock_),
                .open = {}});
    }
    std::erase_if(replicas_, [&](const auto& entry) {
        return !kept.contains(entry.first);
    });
}

void replica_slots::on_granted(const protocol::slot_grant& grant) {
    const auto found =
        replicas_.find(base::backend_server_id(grant.backend_server));
    if (found == replicas_.end()) {
        return;
    }
    replica& target = found->second;
    target.open[{grant.term, grant.grant_id}] = target.capacity.on_granted();
}

void replica_slots::on_released(const protocol::grant_release& release) {
    const auto found =
        replicas_.find(base::backend_server_id(release.backend_server));
    if (found == replicas_.end()) {
        return;
    }
    replica& target = found->second;
    // A repeated release, or one of another dispatcher's grants, says nothing
    // that was not counted already.
    const auto open = target.open.extract({release.term, release.grant_id});
    if (open.empty()) {
        return;
    }
    target.capacity.on_released(
        {.epoch = open.mapped(),
         .result = result_of(release.reason),
         .first_byte = std::chrono::milliseconds(release.first_byte_ms),
         .total = std::chrono::milliseconds(release.duration_ms),
         .output_units = release.output_units});
}

void replica_slots::on_load(base::backend_server_id server,
                            const capacity::load_report& report) {
    const auto found = replicas_.find(server);
    if (found != replicas_.end()) {
        found->second.capacity.on_report(report);
    }
}

std::uint32_t replica_slots::allowed(base::backend_server_id server) const {
    const auto found = replicas_.find(server);
    return found == replicas_.end() ? 0 : found->second.capacity.allowed();
}

bool replica_slots::take_changed() {
    bool changed = false;
    for (auto& [id, target] : replicas_) {
        const std::uint32_t now = target.capacity.allowed();
        changed = changed || now != target.last_allowed;
        target.last_allowed = now;
    }
    return changed;
}

nlohmann::json replica_slots::dump() const {
    nlohmann::json result = nlohmann::json::array();
    for (const auto& [id, target] : replicas_) {
        result.push_back(
            {{"backend_server", id.value()},
             {"allowed", target.capacity.allowed()},
             {"estimated_slots", target.capacity.estimated_slots()},
             {"health", capacity::to_string(target.capacity.state())},
             {"open_grants", target.open.size()}});
    }
    return result;
}

}  // namespace bronzehub::daemon
