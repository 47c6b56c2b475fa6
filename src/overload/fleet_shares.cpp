#include "overload/fleet_shares.hpp"

#include <algorithm>
#include <limits>

namespace bronzehub::overload {
namespace {

// The fleet is overloaded if more than this fraction of the requested cost was
// refused.
constexpr double overload_refusal_fraction = 0.01;

// Max-min fair share: divides `total` evenly and gives what an organisation
// does not request to the others. Infinite if all requests fit in `total`.
double max_min_share(std::span<const double> requested, double total) {
    std::vector<double> ascending(requested.begin(), requested.end());
    std::ranges::sort(ascending);
    auto remaining = ascending.size();
    for (const double amount : ascending) {
        const double even_share = total / static_cast<double>(remaining);
        if (amount > even_share) {
            return even_share;
        }
        total -= amount;
        --remaining;
    }
    return std::numeric_limits<double>::infinity();
}

}  // namespace

std::vector<organisation_usage> merge_usage(
    std::span<const std::vector<organisation_usage>> reports) {
    std::map<std::string, organisation_usage> sums;
    for (const auto& report : reports) {
        for (const organisation_usage& each : report) {
            organisation_usage& sum = sums[each.organisation];
            sum.requested += each.requested;
            sum.granted += each.granted;
        }
    }
    std::vector<organisation_usage> result;
    result.reserve(sums.size());
    for (auto& [organisation, sum] : sums) {
        sum.organisation = organisation;
        result.push_back(sum);
    }
    return result;
}

void fleet_shares::update(std::span<const organisation_usage> usage) {
    usage_.clear();
    double total_requested = 0;
    double total_granted = 0;
    std::vector<double> requested;
    for (const organisation_usage& each : usage) {
        usage_.emplace(each.organisation, each);
        requested.push_back(each.requested);
        total_requested += each.requested;
        total_granted += each.granted;
    }
    const bool overloaded = total_requested - total_granted >
                            overload_refusal_fraction * total_requested;
    fair_share_ = overloaded ? max_min_share(requested, total_granted)
                             : std::numeric_limits<double>::infinity();
    updated_at_ = clock_.now();
}

bool fleet_shares::is_current() const {
    return updated_at_ != base::time_point{} &&
           clock_.now() - updated_at_ < max_age;
}

const organisation_usage* fleet_shares::find(
    std::string_view organisation) const {
    const auto found = usage_.find(organisation);
    return found == usage_.end() || !is_current() ? nullptr : &found->second;
}

double fleet_shares::granted(std::string_view organisation) const {
    const auto* found = find(organisation);
    return found == nullptr ? 0 : found->granted;
}

double fleet_shares::requested(std::string_view organisation) const {
    const auto* found = find(organisation);
    return found == nullptr ? 0 : found->requested;
}

bool fleet_shares::is_underserved(std::string_view organisation) const {
    if (!is_current()) {
        return false;
    }
    const auto* found = find(organisation);
    if (found == nullptr) {
        // The organisation was granted nothing recently, so it is underserved
        // if the fleet is overloaded.
        return fair_share_ != std::numeric_limits<double>::infinity();
    }
    return found->granted <
           underserved_fraction * std::min(found->requested, fair_share_);
}

bool fleet_shares::is_below_fair_share(std::string_view organisation) const {
    return !is_current() || granted(organisation) < fair_share_;
}

bool fleet_shares::is_above_fair_share(std::string_view organisation) const {
    return is_current() && granted(organisation) > fair_share_;
}

base::duration fleet_shares::backlog_time(std::string_view organisation) const {
    const auto* found = find(organisation);
    if (found == nullptr || found->granted <= 0) {
        return base::duration(0);
    }
    const std::chrono::duration<double> time =
        organisation_rates::decay_time *
        (std::max(found->requested - found->granted, 0.0) / found->granted);
    return std::chrono::duration_cast<base::duration>(time);
}

}  // namespace bronzehub::overload
