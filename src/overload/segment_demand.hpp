// How many engines a shared prompt part needs as homes.
//
// Every further home reads the part once more, and under overload that work is
// taken from other requests. So a part has few homes, in two of which a request
// finds room most of the time. Load pattern: one part gets a large share of all
// requests, more than its homes can serve. Each host counts the requests that
// found its homes full, and gives the part one more home for each of late.
#ifndef BRONZEHUB_OVERLOAD_SEGMENT_DEMAND_HPP
#define BRONZEHUB_OVERLOAD_SEGMENT_DEMAND_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/clock.hpp"

namespace bronzehub::overload {

// Not thread-safe.
class segment_demand {
public:
    static constexpr std::size_t min_homes = 2;
    static constexpr std::size_t max_homes = 32;
    // Time in which a count falls to 1/e: a home that is no longer used is
    // given up by the engine itself in about this time.
    static constexpr std::chrono::milliseconds decay_time{4000};

    explicit segment_demand(base::clock clock) : clock_(std::move(clock)) {}

    // A request found all homes of the part full.
    void on_homes_full(std::uint64_t part);

    // Between `min_homes` and `max_homes`.
    std::size_t home_count(std::uint64_t part) const;

    // Forgets parts that have cooled down.
    void prune();

private:
    struct count {
        double value = 0;
        base::time_point at;
    };

    double decayed(const count& entry) const;

    base::clock clock_;
    std::unordered_map<std::uint64_t, count> counts_;
};

}  // namespace bronzehub::overload

#endif
