// Whose requests a host refuses while it has no processor time for all.
//
// Load pattern: the callers of a large organisation flood a host that serves
// callers of others too. `host_load` tells how many requests to refuse; refused
// evenly, the others would lose the same part of their requests as the one
// that asks for more than its part of the host. A request whose turn it is to
// be refused is let through when its organisation got clearly less of this
// host, and no more than its share of the fleet; another is refused for it.
#ifndef BRONZEHUB_OVERLOAD_HOST_ADMISSION_HPP
#define BRONZEHUB_OVERLOAD_HOST_ADMISSION_HPP

#include <string_view>

#include "overload/fleet_shares.hpp"
#include "overload/host_load.hpp"
#include "overload/organisation_rates.hpp"

namespace bronzehub::overload {

// Not thread-safe.
class host_admission {
public:
    // Part of the requests that the organisation with most of them was let in
    // with, below which another is let in out of turn.
    static constexpr double pass_part = 0.5;

    host_admission(host_load& load, const fleet_shares& fleet,
                   base::clock clock)
        : load_(load), fleet_(fleet), admitted_(std::move(clock)) {}

    // Whether the next request has to be refused, unless it `try_exempt`.
    bool should_refuse_next() { return !load_.accept(); }

    // Whether a request that has to be refused is let in after all, as its
    // organisation got less than others.
    bool try_exempt(std::string_view organisation);

    // A request of the organisation was let in. Empty: without organisation.
    void on_admitted(std::string_view organisation) {
        admitted_.on_granted(organisation, 1);
    }

    void prune() { admitted_.prune(); }

private:
    host_load& load_;
    const fleet_shares& fleet_;
    // Requests; each takes about as much of the host.
    organisation_rates admitted_;
};

}  // namespace bronzehub::overload

#endif
