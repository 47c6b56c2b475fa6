// Learns how long requests of one kind usually take, and how long the slowest
// of them take.
//
// A histogram with buckets that grow by a constant factor, so that a quantile
// is exact within a few percent at any scale. Older samples count less and
// less: the profile follows a service whose load changes.
// Load pattern: requests of the same kind of which a few take many times as
// long as the rest.
#ifndef BRONZEHUB_HEDGING_LATENCY_PROFILE_HPP
#define BRONZEHUB_HEDGING_LATENCY_PROFILE_HPP

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace bronzehub::hedging {

// Not thread-safe. Holds at most `max_kinds` histograms of a fixed size.
class latency_profile {
public:
    // Samples lose half of their weight in this time.
    static constexpr std::chrono::seconds half_life{30};
    // A quantile needs this many samples above it, as otherwise a single slow
    // response would define it.
    static constexpr double min_samples_above = 2;
    // Kinds beyond this number are not learnt.
    static constexpr std::size_t max_kinds = 1024;

    explicit latency_profile(base::clock clock) : clock_(std::move(clock)) {}

    // Records that a request of this kind took `elapsed` until its response,
    // or until the first event of a stream.
    void on_response(std::string_view kind, base::duration elapsed);

    // Returns the time within which this fraction of the requests of the kind
    // were answered; empty if too few samples are known.
    std::optional<base::duration> quantile(std::string_view kind,
                                           double fraction) const;

private:
    // From a millisecond to about two minutes, eight buckets for each doubling.
    static constexpr std::size_t bucket_count = 136;

    struct histogram {
        std::array<float, bucket_count> weights{};
        base::time_point decayed_at{};
    };

    void decay(histogram& samples) const;

    base::clock clock_;
    std::map<std::string, histogram, std::less<>> kinds_;
};

}  // namespace bronzehub::hedging

#endif
