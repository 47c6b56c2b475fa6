// What each organisation was granted and refused of late.
//
// Both are kept as sums that decay, so that a rate needs two numbers for each
// organisation and old behaviour is forgotten.
#ifndef BRONZEHUB_OVERLOAD_ORGANISATION_RATES_HPP
#define BRONZEHUB_OVERLOAD_ORGANISATION_RATES_HPP

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace bronzehub::overload {

// Sums that decay with `organisation_rates::decay_time`, in the unit of shares.
struct organisation_usage {
    std::string organisation;
    // Granted and refused.
    double requested = 0;
    double granted = 0;
};

// Not thread-safe. Costs are in the unit of shares.
class organisation_rates {
public:
    // Time in which a sum falls to 1/e. Shares are judged over a few seconds.
    static constexpr std::chrono::milliseconds decay_time{2000};

    explicit organisation_rates(base::clock clock) : clock_(std::move(clock)) {}

    void on_granted(std::string_view organisation, double cost);
    void on_refused(std::string_view organisation, double cost);

    // Decayed sums; zero for an unknown organisation.
    double granted(std::string_view organisation) const;
    double refused(std::string_view organisation) const;
    // The sum of the organisation that was granted most.
    double max_granted() const;
    // Of all organisations.
    std::vector<organisation_usage> usage() const;

    // Forgets organisations whose sums are negligible.
    void prune();

private:
    struct decaying_sums {
        double granted = 0;
        double refused = 0;
        base::time_point at;
    };

    double decay(const decaying_sums& entry) const;
    decaying_sums& refreshed(std::string_view organisation);

    base::clock clock_;
    std::map<std::string, decaying_sums, std::less<>> sums_;
};

}  // namespace bronzehub::overload

#endif
