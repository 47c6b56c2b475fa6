// What each organisation asks of all engines and was granted of late,
// fleet-wide.
//
// Load patterns: the work of an organisation meets few engines, as its callers
// are in one failure domain, its prompts share one part or its engines were
// lost, while others are served everywhere; a small organisation asks for many
// times its usual beside a large one. What one engine granted tells nothing
// of shares then. Hosts exchange what their callers asked and got, and owners
// of engines order and refuse work by the sums of all hosts. Decides only.
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

// Adds up the shares of the same organisation.
std::vector<organisation_usage> merge_usage(
    std::span<const std::vector<organisation_usage>> reports);

// Not thread-safe.
class fleet_shares {
public:
    // Sums that were not renewed for this long are of hosts that are gone, or
    // out of reach: eight exchanges.
    static constexpr std::chrono::milliseconds max_age{2000};
    // Part of its entitlement below which an organisation is short of it.
    // Sums are some tenths of a second old and requests are large, so that
    // organisations that are served equally differ by about as much.
    static constexpr double short_part = 0.8;

    explicit fleet_shares(base::clock clock) : clock_(std::move(clock)) {}

    // Replaces what is known by the newest sums of the whole fleet.
    void update(std::span<const organisation_usage> sums);

    // False until sums are known, and again when they are too old.
    bool is_current() const;

    // Time since the sums were told.
    base::duration age() const { return clock_.now() - renewed_at_; }

    // Zero for an organisation that is not known.
    double granted(std::string_view organisation) const;
    double requested(std::string_view organisation) const;

    // The largest amount that each organisation can get if those that ask for
    // less get all of it. Infinite when everything that is asked is granted.
    double fair_share() const { return fair_share_; }

    // Whether the organisation got clearly less than it asked and than `level`.
    bool is_underserved(std::string_view organisation) const;

    // Whether the organisation got less than `level`; true while nothing is
    // known.
    bool is_below_fair_share(std::string_view organisation) const;

    // Whether the organisation got more than `level`.
    bool is_above_fair_share(std::string_view organisation) const;

    // Time in which what the organisation was refused of late would be granted
    // at its present rate; zero when nothing was refused.
    base::duration backlog_time(std::string_view organisation) const;

private:
    const organisation_usage* find(std::string_view organisation) const;

    base::clock clock_;
    std::map<std::string, organisation_usage, std::less<>> sums_;
    double fair_share_ = 0;
    base::time_point renewed_at_{};
};

}  // namespace bronzehub::overload

#endif
