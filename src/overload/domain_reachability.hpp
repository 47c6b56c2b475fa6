// Detects that the backend servers of another failure domain are unreachable.
//
// A request to an unreachable server waits for the whole connect timeout, and
// without this class each server of a domain would have to fail on its own.
// When several servers of a domain time out and none responds, the whole domain
// counts as unreachable and requests avoid it. Single requests then probe the
// domain until one gets a response. Load pattern: a network partition cuts off
// a failure domain that holds the home engines of a third of the requests.
#ifndef BRONZEHUB_OVERLOAD_DOMAIN_REACHABILITY_HPP
#define BRONZEHUB_OVERLOAD_DOMAIN_REACHABILITY_HPP

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.hpp"

namespace bronzehub::overload {

// Not thread-safe.
class domain_reachability {
public:
    // A domain counts as unreachable when connects to this many of its servers
    // timed out within `window`. Two servers may fail together by chance; of
    // three, one can be expected to be alive.
    static constexpr std::size_t min_unreachable_servers = 3;
    static constexpr std::chrono::milliseconds window{1500};
    // Interval between requests that probe an unreachable domain.
    static constexpr std::chrono::milliseconds probe_interval{250};

    domain_reachability(std::string own_domain, base::clock clock)
        : own_domain_(std::move(own_domain)), clock_(std::move(clock)) {}

    // Records that a connect to the server timed out. A refused connect does
    // not count: it shows that the domain is reachable.
    void on_unreachable(std::string_view domain, std::string_view server);

    // Records that a server of the domain responded. Returns whether the domain
    // counted as unreachable until now.
    bool on_reachable(std::string_view domain);

    // Always false for the failure domain of this host.
    bool is_unreachable(std::string_view domain) const;

    // An unreachable domain that the next request may probe, if any.
    std::optional<std::string> domain_due_for_probe() const;
    // Records that a request was sent to the domain, which postpones the next
    // probe.
    void on_request_sent(std::string_view domain);

private:
    struct domain_state {
        // Time of the last connect timeout of each server.
        std::map<std::string, base::time_point, std::less<>> connect_timeouts;
        bool is_unreachable = false;
        base::time_point next_probe{};
    };

    std::string own_domain_;
    base::clock clock_;
    std::map<std::string, domain_state, std::less<>> domains_;
};

}  // namespace bronzehub::overload

#endif
