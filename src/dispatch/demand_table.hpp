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

    // `grant_lifetime` bounds how long a grant counts as under way when the
    // host does not confirm it.
    explicit demand_table(base::duration grant_lifetime)
        : grant_lifetime_(grant_lifetime) {}

    // Sets the number of waiting calls at a host. A row older than one that
    // was applied is ignored. Without `oldest` the known age is kept. Returns
    // whether the row was applied. `last_grant` is the newest grant that the
    // count takes into account; later ones are still under way.
    //
    // A fixed time for a grant's way would be wrong in both directions: a call
    // that is granted, run and followed by the next within it would look as if
    // it were covered already, and its slot would stay idle.
    bool announce(const protocol::sender& from, const accounting::work_key& key,
                  std::uint32_t waiting, std::uint64_t last_grant,
                  std::optional<base::time_point> oldest, base::time_point now,
                  bool in_order);

    // Whether the organisation waits at any host.
    bool waiting(const accounting::work_key& key) const;

    // Whether some host has calls that no grant of this dispatcher covers.
    bool grantable(const accounting::work_key& key) const;

    // Takes one call from the preferred host. Nothing when none is grantable.
    std::optional<base::host_id> take(const accounting::work_key& key,
                                      base::time_point now,
                                      const preference& prefer);

    // The call that was taken is covered by this grant.
    void issued(const base::host_id& host, const accounting::work_key& key,
                std::uint64_t grant_id, base::time_point now);

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
    struct open_grant {
        std::uint64_t id = 0;
        base::time_point issued;
    };
    struct host_queue {
        std::uint32_t waiting = 0;    // As announced.
        std::uint32_t grantable = 0;  // Less the grants since.
        base::time_point oldest;
        std::uint64_t sequence = 0;
        std::vector<open_grant> under_way;
    };
    struct key_state {
        std::map<base::host_id, host_queue> hosts;
        std::uint32_t waiting = 0;
        std::uint32_t grantable = 0;
    };

    void set(key_state& state, host_queue& queue, std::uint32_t waiting,
             std::uint32_t grantable);
    std::uint32_t grants_under_way(host_queue& queue, std::uint64_t last_grant,
                                   base::time_point now) const;

    base::duration grant_lifetime_;
    std::map<accounting::work_key, key_state> keys_;
};

}  // namespace bronzehub::dispatch

#endif
