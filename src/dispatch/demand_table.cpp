#include "dispatch/demand_table.hpp"

#include <algorithm>

namespace bronzehub::dispatch {

void demand_table::set(key_state& state, host_queue& queue,
                       std::uint32_t waiting, std::uint32_t grantable) {
    state.waiting += waiting - queue.waiting;
    state.grantable += grantable - queue.grantable;
    queue.waiting = waiting;
    queue.grantable = grantable;
}

std::uint32_t demand_table::grants_under_way(host_queue& queue,
                                             std::uint64_t last_grant,
                                             base::time_point now) const {
    std::erase_if(queue.under_way, [&](const open_grant& grant) {
        return grant.id <= last_grant || grant.issued + grant_lifetime_ <= now;
    });
    return static_cast<std::uint32_t>(queue.under_way.size());
}

bool demand_table::announce(const protocol::sender& from,
                            const accounting::work_key& key,
                            std::uint32_t waiting, std::uint64_t last_grant,
                            std::optional<base::time_point> oldest,
                            base::time_point now, bool in_order) {
    key_state& state = keys_[key];
    host_queue& queue = state.hosts[from.host];
    if (in_order) {
        if (from.sequence < queue.sequence) {
            return false;
        }
        queue.sequence = from.sequence;
    }
    if (oldest || queue.waiting == 0) {
        queue.oldest = oldest.value_or(now);
    }
    const std::uint32_t under_way = grants_under_way(queue, last_grant, now);
    set(state, queue, waiting, waiting - std::min(waiting, under_way));
    return true;
}

bool demand_table::waiting(const accounting::work_key& key) const {
    const auto found = keys_.find(key);
    return found != keys_.end() && found->second.waiting > 0;
}

bool demand_table::grantable(const accounting::work_key& key) const {
    const auto found = keys_.find(key);
    return found != keys_.end() && found->second.grantable > 0;
}

std::optional<base::host_id> demand_table::take(const accounting::work_key& key,
                                                base::time_point now,
                                                const preference& prefer) {
    const auto found = keys_.find(key);
    if (found == keys_.end()) {
        return std::nullopt;
    }
    const base::host_id* best = nullptr;
    base::duration best_rank{};
    for (const auto& [host, queue] : found->second.hosts) {
        if (queue.grantable == 0) {
            continue;
        }
        const base::duration rank = prefer(host, now - queue.oldest);
        if (best == nullptr || rank > best_rank) {
            best = &host;
            best_rank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    host_queue& queue = found->second.hosts.at(*best);
    set(found->second, queue, queue.waiting, queue.grantable - 1);
    return *best;
}

void demand_table::issued(const base::host_id& host,
                          const accounting::work_key& key,
                          std::uint64_t grant_id, base::time_point now) {
    keys_[key].hosts[host].under_way.push_back({grant_id, now});
}

void demand_table::declined(const base::host_id& host,
                            const accounting::work_key& key) {
    const auto found = keys_.find(key);
    if (found == keys_.end()) {
        return;
    }
    const auto queue = found->second.hosts.find(host);
    if (queue != found->second.hosts.end()) {
        set(found->second, queue->second, queue->second.waiting, 0);
    }
}

void demand_table::suspend_host(const base::host_id& host) {
    for (const auto& entry : keys_) {
        declined(host, entry.first);
    }
}

std::vector<accounting::work_key> demand_table::drop_host(
    const base::host_id& host) {
    std::vector<accounting::work_key> emptied;
    for (auto& [key, state] : keys_) {
        const auto queue = state.hosts.find(host);
        if (queue == state.hosts.end()) {
            continue;
        }
        const bool waited = state.waiting > 0;
        set(state, queue->second, 0, 0);
        state.hosts.erase(queue);
        if (waited && state.waiting == 0) {
            emptied.push_back(key);
        }
    }
    return emptied;
}

std::vector<accounting::work_key> demand_table::keys(
    base::service_id service) const {
    std::vector<accounting::work_key> result;
    for (const auto& [key, state] : keys_) {
        if (key.service == service) {
            result.push_back(key);
        }
    }
    return result;
}

}  // namespace bronzehub::dispatch
