// Estimates how fast the machine of a backend server works.
//
// Backend servers that share their machines with others tell with each response
// how long work takes at that moment. The figure changes many times a second,
// so a single one says little about the time that a request will take.
// Load pattern: a part of the servers is slower than the rest for long, and all
// of them are disturbed for moments.
// The class performs no I/O; its owner passes the time.
#ifndef BRONZEHUB_OVERLOAD_PACE_ESTIMATE_HPP
#define BRONZEHUB_OVERLOAD_PACE_ESTIMATE_HPP

#include <cstdint>

#include "base/clock.hpp"

namespace bronzehub::overload {

// Not thread-safe.
class pace_estimate {
public:
    // Time over which reports are averaged. Several disturbances fit into it,
    // and a machine that becomes slow is noticed within a few requests.
    static constexpr std::chrono::seconds averaging_time{2};
    // A server that has not reported for this long counts as one of usual pace,
    // so that it gets requests again and can report.
    static constexpr std::chrono::seconds report_lifetime{10};
    // Reports outside of these limits are cut to them.
    static constexpr std::uint32_t min_percent = 10;
    static constexpr std::uint32_t max_percent = 1000;

    // Records the time that work takes, in percent of the usual time.
    void on_report(std::uint32_t percent, base::time_point now);

    // Mean time that work takes, as a ratio of the usual time; 1 without a
    // recent report.
    double ratio(base::time_point now) const;

private:
    double mean_percent_ = 100;
    // When the last report arrived; zero before the first.
    base::time_point reported_at_{};
};

}  // namespace bronzehub::overload

#endif
