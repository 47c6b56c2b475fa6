// Computes the max-min fair shares of the organisations over the whole fleet.
//
// Hosts exchange the recent usage of their organisations, and the schedules of
// the engines order and refuse requests by the sums of all hosts. The grants of
// a single engine are not enough for a fair decision. Load patterns: the
// requests of one organisation reach few engines (its callers are in one
// failure domain, its prompts share one segment, or its engines failed) while
// others are served everywhere; a small organisation sends many times its usual
// requests beside a large one. This class performs no I/O.
#ifndef BRONZEHUB_OVERLOAD_FLEET_SHARES_HPP
#define BRONZEHUB_OVERLOAD_FLEET_SHARES_HPP

#include <chrono>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "overload/organisation_rates.hpp"

namespace bronzehub::overload {

// Adds up the usage of each organisation over several reports.
std::vector<organisation_usage> merge_usage(
    std::span<const std::vector<organisation_usage>> reports);

// Not thread-safe.
class fleet_shares {
public:
    // Usage that was not updated for this long, which is eight exchanges, is
    // ignored: the hosts that reported it are stopped or unreachable.
    static constexpr std::chrono::milliseconds max_age{2000};
    // An organisation is underserved if it was granted less than this fraction
    // of what it is entitled to. The usage is some tenths of a second old and
    // requests are large, so that the grants of organisations that are served
    // equally differ by about the remaining fraction.
    static constexpr double underserved_fraction = 0.8;

    explicit fleet_shares(base::clock clock) : clock_(std::move(clock)) {}

    // Replaces the usage by the newest sums of the whole fleet.
    void update(std::span<const organisation_usage> usage);

    // Whether `update` was called less than `max_age` ago.
    bool is_current() const;

    // Time since the last update.
    base::duration age() const { return clock_.now() - updated_at_; }

    // Recent cost of the requests of the organisation in weighted tokens, see
    // `organisation_usage`. Zero if the organisation is unknown or the usage is
    // not current.
    double granted(std::string_view organisation) const;
    double requested(std::string_view organisation) const;

    // The max-min fair share: the amount up to which every organisation can be
    // granted what it requests. Infinite while the fleet is not overloaded.
    double fair_share() const { return fair_share_; }

    // Whether the organisation was granted clearly less than it requested and
    // than the fair share.
    bool is_underserved(std::string_view organisation) const;

    // Whether the organisation was granted less than the fair share; true while
    // the usage is not current.
    bool is_below_fair_share(std::string_view organisation) const;

    // Whether the organisation was granted more than the fair share.
    bool is_above_fair_share(std::string_view organisation) const;

    // Time that the fleet would need to serve what it recently refused the
    // organisation, at the rate at which it serves the organisation now. Zero
    // if nothing was refused or granted.
    base::duration backlog_time(std::string_view organisation) const;

private:
    const organisation_usage* find(std::string_view organisation) const;

    base::clock clock_;
    std::map<std::string, organisation_usage, std::less<>> usage_;
    double fair_share_ = 0;
    base::time_point updated_at_{};
};

}  // namespace bronzehub::overload

#endif
