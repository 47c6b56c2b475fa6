// Selects the requests that an overloaded host refuses.
//
// `host_load` determines the fraction of requests to refuse. If they were
// refused evenly, each organisation would lose the same fraction, although only
// one of them may cause the overload. So a request that is due to be refused is
// exempted if its organisation got clearly less of this host than others and is
// below its fair share of the fleet; a later request is refused in its place.
// Load pattern: the callers of a large organisation flood a host that also
// serves callers of others.
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
    // An organisation is exempted while its admitted requests are below this
    // fraction of those of the organisation with the most admitted requests.
    static constexpr double exempt_fraction = 0.5;

    host_admission(host_load& load, const fleet_shares& fleet,
                   base::clock clock)
        : load_(load), fleet_(fleet), admitted_(std::move(clock)) {}

    // Whether to refuse the next request unless `try_exempt` admits it. Each
    // call counts as one request.
    bool should_refuse_next() { return !load_.accept(); }

    // Whether to admit a request that is due to be refused, because its
    // organisation got less than others. If so, a later request is refused.
    bool try_exempt(std::string_view organisation);

    // Records that a request was admitted. The name is empty for requests whose
    // organisation is unknown.
    void on_admitted(std::string_view organisation) {
        admitted_.on_granted(organisation, 1);
    }

    void prune() { admitted_.prune(); }

private:
    host_load& load_;
    const fleet_shares& fleet_;
    // Rates of admitted requests. Each request has cost 1, because all take
    // about the same processor time of the host.
    organisation_rates admitted_;
};

}  // namespace bronzehub::overload

#endif
