// The slots of the backend servers that a daemon dispatches for, and the
// grants that occupy them.
#ifndef BRONZEHUB_DISPATCH_SLOT_TABLE_HPP
#define BRONZEHUB_DISPATCH_SLOT_TABLE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "accounting/work_key.hpp"
#include "base/clock.hpp"
#include "base/strong_id.hpp"
#include "dispatch/dispatcher.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::dispatch {

// Identifies a grant at one entry daemon.
struct grant_key {
    std::uint32_t backend_server = 0;
    std::uint64_t term = 0;
    std::uint64_t id = 0;

    friend constexpr auto operator<=>(const grant_key&,
                                      const grant_key&) = default;
};

struct held_grant {
    grant_key key;
    accounting::work_key work;
    base::time_point issued;
    bool adopted = false;  // Learnt from an inventory, not issued here.
};

// Not thread-safe.
class slot_table {
public:
    slot_table(base::host_id self, std::uint64_t incarnation,
               base::duration grant_lifetime);

    // Replaces the servers. A server that is new here starts a new term and
    // is not granted on before every live host's inventory arrived or a grant
    // lifetime passed, because calls may run there that this table does not
    // know.
    void set_servers(std::span<const dispatched_server> servers,
                     base::time_point now);

    // Returns the grants of hosts that are gone; their slots are free.
    std::vector<std::pair<base::host_id, held_grant>> set_live_hosts(
        std::set<base::host_id> hosts);

    // The least occupied server of the service with room for a grant, counting
    // `ahead(slots)` more than its slots.
    template <class Ahead>
    std::optional<base::backend_server_id> pick(base::service_id service,
                                                base::time_point now,
                                                const Ahead& ahead) const {
        const server_state* best = nullptr;
        for (const auto& [id, entry] : servers_) {
            const std::uint32_t room = entry.slots + ahead(entry.slots);
            if (entry.service == service && entry.in_use < room &&
                !entry.leaving && ready(entry, now) &&
                (best == nullptr || entry.load() < best->load())) {
                best = &entry;
            }
        }
        return best == nullptr ? std::nullopt : std::optional(best->id);
    }

    // Occupies a slot of a server of this table.
    protocol::slot_grant issue(base::backend_server_id server,
                               const base::host_id& host,
                               const accounting::work_key& work,
                               base::time_point now);

    // Frees the grant's slot. Nothing when the grant is not held here.
    std::optional<held_grant> release(const base::host_id& host,
                                      const grant_key& key);

    // Aligns the table with what runs at the host: adopts unknown grants on
    // own servers and returns the reclaimed ones, which the host does not hold
    // although their lifetime is over.
    std::vector<held_grant> apply_inventory(const protocol::sender& from,
                                            const protocol::inventory& held,
                                            base::time_point now);

    // Frees everything that the host holds, for example after its restart.
    std::vector<held_grant> drop_host(const base::host_id& host);

    bool has_service(base::service_id service) const;

    // How long the oldest grant of the service has been held. O(grants).
    base::duration longest_held(base::service_id service,
                                base::time_point now) const;

    struct server_state {
        base::backend_server_id id;
        base::service_id service;
        std::uint32_t slots = 0;
        std::uint32_t in_use = 0;
        std::uint64_t term = 0;
        base::time_point added;
        bool leaving = false;

        double load() const {
            return static_cast<double>(in_use) / (slots == 0 ? 1 : slots);
        }
    };
    const std::map<base::backend_server_id, server_state>& servers() const {
        return servers_;
    }

private:
    struct host_grants {
        std::map<grant_key, held_grant> held;
        protocol::inventory last_inventory;
        std::optional<base::time_point> inventory_time;
        std::uint64_t inventory_sequence = 0;
    };

    bool ready(const server_state& entry, base::time_point now) const;
    bool inventories_since(base::time_point time) const;
    void adopt(host_grants& host, const protocol::inventory& inventory,
               base::time_point now);
    void forget_server(std::uint32_t id);
    void free_slot(const grant_key& key);
    std::uint64_t next_term();

    base::host_id self_;
    std::uint64_t first_term_;
    std::uint64_t terms_ = 0;
    std::uint64_t next_grant_ = 1;
    base::duration grant_lifetime_;
    std::map<base::backend_server_id, server_state> servers_;
    std::map<base::host_id, host_grants> hosts_;
    std::set<base::host_id> live_;
};

}  // namespace bronzehub::dispatch

#endif
