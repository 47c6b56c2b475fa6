// Decides on how many engines a shared prompt segment is cached.
//
// A prompt segment is a run of prompt tokens that requests share; the engines
// that cache it are its home engines, or homes. Each additional home has to
// prefill the segment once more, and under overload that capacity is missing
// for other requests; it also takes cache from other segments, which are then
// prefilled again. So a segment has one home at first. Each host counts the
// recent requests that found all homes of a segment full, and adds one home for
// every second of them. Load patterns: more segments than the caches can hold
// twice; a single segment that is part of more requests than its homes can
// serve.
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
    // Homes of a segment whose homes are rarely full.
    static constexpr std::size_t min_homes = 1;
    static constexpr std::size_t max_homes = 32;
    // Recent requests that found all homes full, for each additional home.
    static constexpr double requests_per_home = 2;
    // Time in which a count decays to 1/e. An engine evicts a segment that is
    // no longer used from its cache after about this time.
    static constexpr std::chrono::milliseconds decay_time{4000};

    explicit segment_demand(base::clock clock) : clock_(std::move(clock)) {}

    // Records that a request found all homes of the segment full.
    void on_homes_full(std::uint64_t segment);

    // Number of homes of the segment, from `min_homes` to `max_homes`.
    std::size_t home_count(std::uint64_t segment) const;

    // Removes segments that have only `min_homes` homes again.
    void prune();

private:
    struct decaying_count {
        // Value at `updated_at`.
        double value = 0;
        base::time_point updated_at;
    };

    // The value of the count, decayed to the current time.
    double current_value(const decaying_count& count) const;

    base::clock clock_;
    // Requests that found all homes full, by segment id.
    std::unordered_map<std::uint64_t, decaying_count> counts_;
};

}  // namespace bronzehub::overload

#endif
