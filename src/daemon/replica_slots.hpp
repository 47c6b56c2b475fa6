// The slots that this daemon grants on the backend servers that it dispatches
// for, learnt from the grants that it sends and the releases that it receives.
//
// Sits beside the dispatcher: it watches the same messages and tells the
// dispatcher a new number of slots when the estimate or the health of a
// backend server changes.
#ifndef BRONZEHUB_DAEMON_REPLICA_SLOTS_HPP
#define BRONZEHUB_DAEMON_REPLICA_SLOTS_HPP

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <span>
#include <vector>

#include "base/clock.hpp"
#include "capacity/replica_capacity.hpp"
#include "configuration/snapshot.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::daemon {

// Belongs to the decision thread.
class replica_slots {
public:
    explicit replica_slots(const base::clock& clock) : clock_(clock) {}

    // Replaces the set of backend servers. What was learnt of one that stays
    // is kept.
    void set_servers(
        std::span<const configuration::backend_server* const> servers,
        const configuration::configuration_snapshot& configuration);

    void on_granted(const protocol::slot_grant& grant);
    void on_released(const protocol::grant_release& release);
    void on_load(base::backend_server_id server,
                 const capacity::load_report& report);

    // Slots that may be in use on the server now.
    std::uint32_t allowed(base::backend_server_id server) const;

    // Whether a number of slots may have changed since the last call.
    bool take_changed();

    nlohmann::json dump() const;

private:
    struct grant_key {
        std::uint64_t term = 0;
        std::uint64_t id = 0;
        auto operator<=>(const grant_key&) const = default;
    };
    struct replica {
        capacity::replica_capacity capacity;
        std::uint32_t last_allowed = 0;
        // The epoch in which each open grant was given.
        std::map<grant_key, std::uint64_t> open;
    };

    base::clock clock_;
    std::map<base::backend_server_id, replica> replicas_;
};

}  // namespace bronzehub::daemon

#endif
