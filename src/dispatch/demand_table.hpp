// What a dispatcher knows of the calls that wait at each entry daemon.
#ifndef BRONZEHUB_DISPATCH_DEMAND_TABLE_HPP
#define BRONZEHUB_DISPATCH_DEMAND_TABLE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "accounting/work_key.hpp"
#include "base/clock.hpp"
#include "base/strong_id.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::dispatch {

// Not thread-safe.
class demand_table {
public:
    // Ranks a host; the host with the highest time wins a grant. The argument
    // is the time since when its oldest call waits.
    using preference =
        std::function<base::duration(const base::host_id&, base::duration)>;

    // `in_flight` is how long a grant may be under way: grants issued within
    // it are not yet part of an announced count.
    explicit demand_table(base::duration in_flight) : in_flight_(in_flight) {}

    // Sets the number of waiting calls at a host. A row older than one that
    // was applied is ignored. Without `oldest` the known age is kept. Returns
    // whether the row was applied.
    bool announce(const protocol::sender& from, const accounting::work_key& key,
                  std::uint32_t waiting, std::optional<base::time_point> oldest,
                  base::time_point now, bool in_order);

    // Whether the organisation waits at any host.
    bool waiting(const accounting::work_key& key) const;

    // Whether some host has calls that no grant of this dispatcher covers.
    bool grantable(const accounting::work_key& key) const;

    // Takes one call from the preferred host. Nothing when none is grantable.
    std::optional<base::host_id> take(const accounting::work_key& key,
                                      base::time_point now,
                                      const preference& prefer);

    // The host declined a grant: nothing is granted to it until it announces
    // again.
    void declined(const base::host_id& host, const accounting::work_key& key);

    // Nothing is granted to the host before it announces or reports again.
    void suspend_host(const base::host_id& host);

    // Forgets a host. Returns the keys that no host waits for any more.
    std::vector<accounting::work_key> drop_host(const base::host_id& host);

    // The keys of a service that were announced.
    std::vector<accounting::work_key> keys(base::service_id service) const;

private:
    struct host_queue {
        std::uint32_t waiting = 0;    // As announced.
        std::uint32_t grantable = 0;  // Less the grants since.
        base::time_point oldest;
        std::uint64_t sequence = 0;
        std::vector<base::time_point> recent_grants;
    };
    struct key_state {
        std::map<base::host_id, host_queue> hosts;
        std::uint32_t waiting = 0;
        std::uint32_t grantable = 0;
    };

    void set(key_state& state, host_queue& queue, std::uint32_t waiting,
             std::uint32_t grantable);
    std::uint32_t grants_in_flight(host_queue& queue,
                                   base::time_point now) const;

    base::duration in_flight_;
    std::map<accounting::work_key, key_state> keys_;
};

}  // namespace bronzehub::dispatch

#endif
