// Whether the backend servers of another failure domain can be reached.
//
// Each server that is cut off costs a request the whole time-out of a connect,
// and would have to fail for each host by itself. Load pattern: a failure
// domain is cut off while a third of the requests have their homes there. A few
// servers that can't be reached, with none that can, speak for the whole
// domain; from then on a single request now and then shows when it is back.
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
    // Servers that could not be reached within `window`. Two may fail together
    // by chance; of three, one can be expected to live.
    static constexpr std::size_t servers_to_conclude = 3;
    static constexpr std::chrono::milliseconds window{1500};
    // Interval of the requests that try a domain that is cut off.
    static constexpr std::chrono::milliseconds probe_interval{250};

    domain_reachability(std::string own_domain, base::clock clock)
        : own_domain_(std::move(own_domain)), clock_(std::move(clock)) {}

    // A connect to the server got no answer in time. A refused connect is an
    // answer.
    void on_unreachable(std::string_view domain, std::string_view server);

    // A server of the domain answered. Returns whether the domain was cut off.
    bool on_reachable(std::string_view domain);

    // This host's own domain never is.
    bool is_unreachable(std::string_view domain) const;

    // A domain that is cut off and may be tried by a request now, if any.
    std::optional<std::string> domain_due_for_probe() const;
    // A request was sent to the domain.
    void on_request_sent(std::string_view domain);

private:
    struct state {
        // When each server was found unreachable last.
        std::map<std::string, base::time_point, std::less<>> unreachable;
        bool cut_off = false;
        base::time_point next_probe{};
    };

    std::string own_domain_;
    base::clock clock_;
    std::map<std::string, state, std::less<>> domains_;
};

}  // namespace bronzehub::overload

#endif
