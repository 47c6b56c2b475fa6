#include "dispatch/slot_table.hpp"

#include <algorithm>
#include <ranges>
#include <string>
#include <utility>

#include "base/hash.hpp"

namespace bronzehub::dispatch {
namespace {

grant_key key_of(const protocol::running_grant& grant) {
    return {.backend_server = grant.backend_server,
            .term = grant.term,
            .id = grant.grant_id};
}

// Terms of different daemons and incarnations must not meet: a daemon would
// take another's grant for its own. 32 bits keep grants short on the wire;
// the low byte counts the terms of one incarnation.
std::uint64_t first_term_of(const base::host_id& host,
                            std::uint64_t incarnation) {
    constexpr std::uint64_t mask = 0xffffff00;
    return base::stable_hash(host, incarnation) & mask;
}

}  // namespace

slot_table::slot_table(base::host_id self, std::uint64_t incarnation,
                       base::duration grant_lifetime)
    : self_(std::move(self)),
      first_term_(first_term_of(self_, incarnation)),
      grant_lifetime_(grant_lifetime) {}

std::uint64_t slot_table::next_term() {
    return first_term_ + ++terms_;
}

void slot_table::set_servers(std::span<const dispatched_server> servers,
                             base::time_point now) {
    std::set<base::backend_server_id> kept;
    bool gained = false;
    for (const dispatched_server& wanted : servers) {
        kept.insert(wanted.id);
        const auto [entry, added] = servers_.try_emplace(wanted.id);
        if (added) {
            entry->second.id = wanted.id;
            entry->second.term = next_term();
            entry->second.added = now;
            gained = true;
        }
        entry->second.service = wanted.service;
        entry->second.slots = wanted.slots;
        entry->second.leaving = wanted.leaving;
    }
    std::vector<std::uint32_t> lost;
    std::erase_if(servers_, [&](const auto& entry) {
        const bool gone = !kept.contains(entry.first);
        if (gone) {
            lost.push_back(entry.first.value());
        }
        return gone;
    });
    std::ranges::for_each(lost, [this](auto id) { forget_server(id); });
    if (gained) {
        for (auto& [host, state] : hosts_) {
            adopt(state, state.last_inventory, now);
        }
    }
}

void slot_table::forget_server(std::uint32_t id) {
    for (auto& [host, state] : hosts_) {
        std::erase_if(state.held, [id](const auto& entry) {
            return entry.first.backend_server == id;
        });
    }
}

std::vector<std::pair<base::host_id, held_grant>> slot_table::set_live_hosts(
    std::set<base::host_id> hosts) {
    live_ = std::move(hosts);
    std::vector<base::host_id> dead;
    for (const auto& host : hosts_ | std::views::keys) {
        if (!live_.contains(host)) {
            dead.push_back(host);
        }
    }
    std::vector<std::pair<base::host_id, held_grant>> freed;
    for (const auto& host : dead) {
        for (const held_grant& grant : drop_host(host)) {
            freed.emplace_back(host, grant);
        }
    }
    return freed;
}

bool slot_table::inventories_since(base::time_point time) const {
    return !live_.empty() &&
           std::ranges::all_of(live_, [&](const base::host_id& host) {
               const auto found = hosts_.find(host);
               return found != hosts_.end() && found->second.inventory_time &&
                      *found->second.inventory_time >= time;
           });
}

bool slot_table::ready(const server_state& entry, base::time_point now) const {
    return entry.added + grant_lifetime_ <= now ||
           inventories_since(entry.added - grant_lifetime_);
}

protocol::slot_grant slot_table::issue(base::backend_server_id server,
                                       const base::host_id& host,
                                       const accounting::work_key& work,
                                       base::time_point now) {
    auto& entry = servers_.at(server);
    const grant_key key{.backend_server = server.value(),
                        .term = entry.term,
                        .id = next_grant_++};
    hosts_[host].held.emplace(
        key, held_grant{.key = key, .work = work, .issued = now});
    ++entry.in_use;
    return {.grant_id = key.id,
            .term = key.term,
            .backend_server = key.backend_server,
            .service = work.service.value(),
            .organisation = work.organisation.value()};
}

void slot_table::free_slot(const grant_key& key) {
    const auto found =
        servers_.find(base::backend_server_id(key.backend_server));
    if (found != servers_.end() && found->second.in_use > 0) {
        --found->second.in_use;
    }
}

std::optional<held_grant> slot_table::release(const base::host_id& host,
                                              const grant_key& key) {
    const auto state = hosts_.find(host);
    if (state == hosts_.end()) {
        return std::nullopt;
    }
    const auto found = state->second.held.find(key);
    if (found == state->second.held.end()) {
        return std::nullopt;
    }
    const held_grant grant = found->second;
    state->second.held.erase(found);
    free_slot(key);
    // The stored inventory must not bring the grant back.
    std::erase_if(state->second.last_inventory.grants,
                  [&](const auto& row) { return key_of(row) == key; });
    return grant;
}

void slot_table::adopt(host_grants& host, const protocol::inventory& inventory,
                       base::time_point now) {
    for (const auto& row : inventory.grants) {
        const grant_key key = key_of(row);
        const auto server =
            servers_.find(base::backend_server_id(key.backend_server));
        if (server == servers_.end() || host.held.contains(key)) {
            continue;
        }
        host.held.emplace(
            key, held_grant{.key = key,
                            .work = {.service = base::service_id(row.service),
                                     .organisation = base::organisation_id(
                                         row.organisation)},
                            .issued = now,
                            .adopted = true});
        ++server->second.in_use;
    }
}

std::vector<held_grant> slot_table::apply_inventory(
    const protocol::sender& from, const protocol::inventory& held,
    base::time_point now) {
    host_grants& host = hosts_[from.host];
    if (from.sequence < host.inventory_sequence) {
        return {};
    }
    host.inventory_sequence = from.sequence;
    host.inventory_time = now;
    host.last_inventory = held;
    std::set<grant_key> listed;
    for (const auto& row : held.grants) {
        listed.insert(key_of(row));
    }
    std::vector<held_grant> reclaimed;
    std::erase_if(host.held, [&](const auto& entry) {
        const held_grant& grant = entry.second;
        const bool under_way =
            !grant.adopted && grant.issued + grant_lifetime_ > now;
        if (listed.contains(entry.first) || under_way) {
            return false;
        }
        reclaimed.push_back(grant);
        return true;
    });
    for (const held_grant& grant : reclaimed) {
        free_slot(grant.key);
    }
    adopt(host, held, now);
    return reclaimed;
}

std::vector<held_grant> slot_table::drop_host(const base::host_id& host) {
    std::vector<held_grant> freed;
    const auto found = hosts_.find(host);
    if (found == hosts_.end()) {
        return freed;
    }
    for (const auto& [key, grant] : found->second.held) {
        freed.push_back(grant);
        free_slot(key);
    }
    hosts_.erase(found);
    return freed;
}

base::duration slot_table::longest_held(base::service_id service,
                                        base::time_point now) const {
    base::duration longest{};
    for (const auto& host : hosts_ | std::views::values) {
        for (const held_grant& grant : host.held | std::views::values) {
            if (grant.work.service == service) {
                longest = std::max(longest, now - grant.issued);
            }
        }
    }
    return longest;
}

bool slot_table::has_service(base::service_id service) const {
    return std::ranges::any_of(servers_, [service](const auto& entry) {
        return entry.second.service == service;
    });
}

}  // namespace bronzehub::dispatch
