#include "overload/fleet_shares.hpp"

#include <algorithm>
#include <limits>

namespace bronzehub::overload {
namespace {

// Refused work below this part of what was asked is not a shortage.
constexpr double refused_part_of_overload = 0.01;

// Max-min shares: `total` is dealt out evenly, and what an organisation does
// not ask for goes to the others.
double max_min_level(std::span<const double> asked, double total) {
    std::vector<double> ascending(asked.begin(), asked.end());
    std::ranges::sort(ascending);
    auto left = ascending.size();
    for (const double wanted : ascending) {
        const double even = total / static_cast<double>(left);
        if (wanted > even) {
            return even;
        }
        total -= wanted;
        --left;
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

void fleet_shares::update(std::span<const organisation_usage> sums) {
    sums_.clear();
    double total_asked = 0;
    double total_granted = 0;
    std::vector<double> asked;
    for (const organisation_usage& each : sums) {
        sums_.emplace(each.organisation, each);
        asked.push_back(each.requested);
        total_asked += each.requested;
        total_granted += each.granted;
    }
    const bool overloaded =
        total_asked - total_granted > refused_part_of_overload * total_asked;
    fair_share_ = overloaded ? max_min_level(asked, total_granted)
                             : std::numeric_limits<double>::infinity();
    renewed_at_ = clock_.now();
}

bool fleet_shares::is_current() const {
    return renewed_at_ != base::time_point{} &&
           clock_.now() - renewed_at_ < max_age;
}

const organisation_usage* fleet_shares::find(
    std::string_view organisation) const {
    const auto found = sums_.find(organisation);
    return found == sums_.end() || !is_current() ? nullptr : &found->second;
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
        // It got nothing of late, which matters while others are refused.
        return fair_share_ != std::numeric_limits<double>::infinity();
    }
    return found->granted <
           short_part * std::min(found->requested, fair_share_);
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
