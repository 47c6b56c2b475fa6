#include "overload/domain_reachability.hpp"

#include <algorithm>

namespace bronzehub::overload {

void domain_reachability::on_unreachable(std::string_view domain,
                                         std::string_view server) {
    if (domain == own_domain_) {
        return;
    }
    const base::time_point now = clock_.now();
    domain_state& state = domains_[std::string(domain)];
    state.connect_timeouts.insert_or_assign(std::string(server), now);
    std::erase_if(state.connect_timeouts, [now](const auto& entry) {
        return now - entry.second > window;
    });
    if (!state.is_unreachable &&
        state.connect_timeouts.size() >= min_unreachable_servers) {
        state.is_unreachable = true;
        state.next_probe = now + probe_interval;
    }
}

bool domain_reachability::on_reachable(std::string_view domain) {
    const auto found = domains_.find(domain);
    if (found == domains_.end()) {
        return false;
    }
    const bool was_unreachable = found->second.is_unreachable;
    domains_.erase(found);
    return was_unreachable;
}

bool domain_reachability::is_unreachable(std::string_view domain) const {
    const auto found = domains_.find(domain);
    return found != domains_.end() && found->second.is_unreachable;
}

std::optional<std::string> domain_reachability::domain_due_for_probe() const {
    const base::time_point now = clock_.now();
    const auto due = std::ranges::find_if(domains_, [now](const auto& entry) {
        return entry.second.is_unreachable && entry.second.next_probe <= now;
    });
    if (due == domains_.end()) {
        return std::nullopt;
    }
    return due->first;
}

void domain_reachability::on_request_sent(std::string_view domain) {
    const auto found = domains_.find(domain);
    if (found != domains_.end()) {
        found->second.next_probe = clock_.now() + probe_interval;
    }
}

}  // namespace bronzehub::overload
