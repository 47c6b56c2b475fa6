#include "fleet_state/backend_servers.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace bronzehub::fleet_state {

std::vector<directory_change> backend_directory::on_listing(
    const std::vector<backend_server>& listed, base::time_point read_at) {
    using kind = directory_change::change_kind;
    if (has_listing_ && read_at - last_read_at_ > options_.max_listing_gap) {
        keep_missing_until_ =
            clock_.now() + options_.reregistration_grace_period;
    }
    has_listing_ = true;
    last_read_at_ = std::max(last_read_at_, read_at);
    listed_ = listed;

    std::vector<directory_change> changes;
    std::set<std::string_view> listed_ids;
    for (const backend_server& each : listed) {
        listed_ids.insert(each.id);
        backend_server server = each;
        if (is_leaving(server)) {
            server.state = backend_state::draining;
            leaving_instances_.find(server.id)->second.last_seen_at =
                clock_.now();
        }
        const auto excluded = excluded_instances_.find(server.id);
        if (excluded != excluded_instances_.end()) {
            if (excluded->second.started_at_ms == server.started_at_ms &&
                clock_.now() < excluded->second.ends_at) {
                continue;
            }
            excluded_instances_.erase(excluded);
        }
        const auto [entry, inserted] = servers_.try_emplace(server.id, server);
        if (inserted) {
            ++generation_;
            changes.push_back({kind::added, server.id, server.service});
            continue;
        }
        if (entry->second.started_at_ms != server.started_at_ms) {
            changes.push_back({kind::restarted, server.id, server.service});
        } else if (entry->second.state != server.state) {
            changes.push_back({server.state == backend_state::draining
                                   ? kind::draining
                                   : kind::added,
                               server.id, server.service});
        }
        if (entry->second != server) {
            entry->second = server;
            ++generation_;
        }
    }
    prune_leaving_instances();
    if (clock_.now() < keep_missing_until_) {
        return changes;
    }
    keep_missing_until_ = {};
    std::erase_if(servers_, [&](const auto& entry) {
        if (listed_ids.contains(entry.first)) {
            return false;
        }
        changes.push_back({kind::removed, entry.first, entry.second.service});
        ++generation_;
        return true;
    });
    std::erase_if(excluded_instances_, [&](const auto& entry) {
        return !listed_ids.contains(entry.first);
    });
    return changes;
}

std::vector<directory_change> backend_directory::on_listing_unchanged(
    base::time_point read_at) {
    if (!has_listing_ || read_at <= last_read_at_) {
        return {};
    }
    const bool exclusion_ended =
        std::ranges::any_of(excluded_instances_, [this](const auto& entry) {
            return entry.second.ends_at <= clock_.now();
        });
    if (exclusion_ended || keep_missing_until_ != base::time_point{} ||
        read_at - last_read_at_ > options_.max_listing_gap) {
        return on_listing(std::vector(listed_), read_at);
    }
    last_read_at_ = read_at;
    return {};
}

void backend_directory::exclude_instance(std::string_view id,
                                         std::uint64_t started_at_ms) {
    const auto found = servers_.find(id);
    if (found == servers_.end() ||
        found->second.started_at_ms != started_at_ms) {
        return;
    }
    excluded_instances_[found->first] = {
        started_at_ms, clock_.now() + options_.exclusion_time};
    servers_.erase(found);
    ++generation_;
}

bool backend_directory::mark_leaving(std::string_view id,
                                     std::uint64_t started_at_ms) {
    leaving_instance& leaving =
        leaving_instances_
            .try_emplace(std::string(id), leaving_instance{started_at_ms, {}})
            .first->second;
    leaving.started_at_ms = std::max(leaving.started_at_ms, started_at_ms);
    leaving.last_seen_at = clock_.now();
    const auto found = servers_.find(id);
    if (found == servers_.end() || !is_leaving(found->second) ||
        found->second.state == backend_state::draining) {
        return false;
    }
    found->second.state = backend_state::draining;
    ++generation_;
    return true;
}

bool backend_directory::is_leaving(const backend_server& server) const {
    const auto found = leaving_instances_.find(server.id);
    return found != leaving_instances_.end() &&
           server.started_at_ms <= found->second.started_at_ms;
}

void backend_directory::prune_leaving_instances() {
    std::erase_if(leaving_instances_, [this](const auto& entry) {
        return clock_.now() - entry.second.last_seen_at >
               options_.leaving_lifetime;
    });
}

void backend_directory::set_evacuated_domains(
    std::set<std::string, std::less<>> domains) {
    if (domains != evacuated_domains_) {
        evacuated_domains_ = std::move(domains);
        ++generation_;
    }
}

bool backend_directory::has_evacuated(std::string_view service) const {
    return !evacuated_domains_.empty() &&
           std::ranges::any_of(servers_, [&](const auto& entry) {
               const backend_server& server = entry.second;
               return server.service == service &&
                      server.state == backend_state::available &&
                      is_evacuated(server);
           });
}

bool backend_directory::is_available(const backend_server& server) const {
    return server.state == backend_state::available && !is_evacuated(server);
}

const backend_server* backend_directory::find_available(
    std::string_view id) const {
    const auto found = servers_.find(id);
    return found == servers_.end() || !is_available(found->second)
               ? nullptr
               : &found->second;
}

std::vector<const backend_server*> backend_directory::available(
    std::string_view service) const {
    std::vector<const backend_server*> result;
    for (const auto& [id, server] : servers_) {
        if (server.service == service && is_available(server)) {
            result.push_back(&server);
        }
    }
    return result;
}

}  // namespace bronzehub::fleet_state
