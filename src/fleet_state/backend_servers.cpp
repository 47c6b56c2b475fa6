#include "fleet_state/backend_servers.hpp"

#include <algorithm>
#include <set>

namespace bronzehub::fleet_state {

std::vector<directory_change> backend_directory::on_listing(
    const std::vector<backend_server>& listed, base::time_point read_at) {
    using kind = directory_change::kind;
    if (known_ && read_at - read_at_ > options_.outage_after) {
        keep_missing_until_ = clock_.now() + options_.lapse_grace;
    }
    known_ = true;
    read_at_ = std::max(read_at_, read_at);
    listed_ = listed;

    std::vector<directory_change> changes;
    std::set<std::string_view> present;
    for (const backend_server& server : listed) {
        present.insert(server.id);
        const auto disowned = disowned_.find(server.id);
        if (disowned != disowned_.end()) {
            if (disowned->second == server.started_at_ms) {
                continue;
            }
            disowned_.erase(disowned);
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
    if (clock_.now() < keep_missing_until_) {
        return changes;
    }
    keep_missing_until_ = {};
    std::erase_if(servers_, [&](const auto& entry) {
        if (present.contains(entry.first)) {
            return false;
        }
        changes.push_back({kind::removed, entry.first, entry.second.service});
        ++generation_;
        return true;
    });
    std::erase_if(disowned_, [&](const auto& entry) {
        return !present.contains(entry.first);
    });
    return changes;
}

std::vector<directory_change> backend_directory::on_unchanged(
    base::time_point read_at) {
    if (!known_ || read_at <= read_at_) {
        return {};
    }
    if (keep_missing_until_ != base::time_point{} ||
        read_at - read_at_ > options_.outage_after) {
        return on_listing(std::vector(listed_), read_at);
    }
    read_at_ = read_at;
    return {};
}

void backend_directory::disown(std::string_view id) {
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    disowned_[found->first] = found->second.started_at_ms;
    servers_.erase(found);
    ++generation_;
}

const backend_server* backend_directory::find_available(
    std::string_view id) const {
    const auto found = servers_.find(id);
    return found == servers_.end() ||
                   found->second.state != backend_state::available
               ? nullptr
               : &found->second;
}

std::vector<const backend_server*> backend_directory::available(
    std::string_view service) const {
    std::vector<const backend_server*> result;
    for (const auto& [id, server] : servers_) {
        if (server.service == service &&
            server.state == backend_state::available) {
            result.push_back(&server);
        }
    }
    return result;
}

}  // namespace bronzehub::fleet_state
