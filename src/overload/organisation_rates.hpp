// Tracks the recent rates of granted and refused cost of each organisation.
//
// Each rate is kept as an exponentially decaying sum, which needs one number
// per organisation and forgets old requests.
#ifndef BRONZEHUB_OVERLOAD_ORGANISATION_RATES_HPP
#define BRONZEHUB_OVERLOAD_ORGANISATION_RATES_HPP

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace bronzehub::overload {

// Recent cost of the requests of an organisation: sums that decay with
// `organisation_rates::decay_time`, in weighted tokens. A prompt token counts
// once, a generated token twice.
struct organisation_usage {
    std::string organisation;
    // The sum of granted and refused cost.
    double requested = 0;
    double granted = 0;
};

// Not thread-safe. The caller chooses the unit of costs.
class organisation_rates {
public:
    // Time in which a sum decays to 1/e. Fairness is evaluated over a few
    // seconds.
    static constexpr std::chrono::milliseconds decay_time{2000};

    explicit organisation_rates(base::clock clock) : clock_(std::move(clock)) {}

    void on_granted(std::string_view organisation, double cost);
    // Takes back a recent grant whose request did not begin.
    void on_grant_unused(std::string_view organisation, double cost);
    void on_refused(std::string_view organisation, double cost);

    // Decayed sums; zero for an unknown organisation.
    double granted(std::string_view organisation) const;
    double refused(std::string_view organisation) const;
    // The largest `granted` sum of all organisations.
    double max_granted() const;
    // The sums of all organisations.
    std::vector<organisation_usage> usage() const;

    // Removes organisations whose sums are negligible.
    void prune();

private:
    struct decaying_sums {
        // Values at `updated_at`.
        double granted = 0;
        double refused = 0;
        base::time_point updated_at;
    };

    // Factor by which the sums have decayed since they were updated.
    double decay_factor(const decaying_sums& entry) const;
    // The sums of the organisation, decayed to the current time.
    decaying_sums& updated_sums(std::string_view organisation);

    base::clock clock_;
    std::map<std::string, decaying_sums, std::less<>> sums_;
};

}  // namespace bronzehub::overload

#endif
