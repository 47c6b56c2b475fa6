// Estimates when a backend server will have completed a request.
//
// A host that stops must not pass on a request that can't end before it does:
// if the request must not run twice, nobody could tell afterwards whether it
// ran. Load pattern: long requests arrive faster than the servers complete them
// while a host stops.
#ifndef BRONZEHUB_OVERLOAD_COMPLETION_ESTIMATE_HPP
#define BRONZEHUB_OVERLOAD_COMPLETION_ESTIMATE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace bronzehub::overload {

// Not thread-safe. Holds a bounded number of samples of each route; the number
// of routes is bounded by `max_routes`.
class completion_estimate {
public:
    static constexpr std::size_t max_samples = 32;
    static constexpr std::size_t max_routes = 1024;
    // Quantile of the samples that is expected of the next request.
    static constexpr double quantile = 0.9;

    // What a server has to do before it begins a request.
    struct server_load {
        // Requests that it runs or holds waiting.
        std::uint32_t requests = 0;
        // Requests that it runs at the same time.
        std::uint32_t slots = 1;
    };

    // Records that a request took `elapsed` at a server that had this load.
    void on_completed(std::string_view route, base::duration elapsed,
                      server_load load);

    // Returns the expected time at a server with this load; zero without
    // samples of the route.
    base::duration expected(std::string_view route, server_load load) const;

private:
    // Durations, each divided by the number of requests that one slot had to
    // run until this one ended.
    std::map<std::string, std::deque<base::duration>, std::less<>> samples_;
};

}  // namespace bronzehub::overload

#endif
