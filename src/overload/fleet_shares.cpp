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

std::vector<organisation_share> add_shares(
    std::span<const std::vector<organisation_share>> reports) {
    std::map<std::string, organisation_share> sums;
    for (const auto& report : reports) {
        for (const organisation_share& each : report) {
            organisation_share& sum = sums[each.organisation];
            sum.asked += each.asked;
            sum.granted += each.granted;
        }
    }
    std::vector<organisation_share> result;
    result.reserve(sums.size());
    for (auto& [organisation, sum] : sums) {
        sum.organisation = organisation;
        result.push_back(sum);
    }
    return result;
}

void fleet_shares::on_sums(std::span<const organisation_share> sums) {
    sums_.clear();
    double total_asked = 0;
    double total_granted = 0;
    std::vector<double> asked;
    for (const organisation_share& each : sums) {
        sums_.emplace(each.organisation, each);
        asked.push_back(each.asked);
        total_asked += each.asked;
        total_granted += each.granted;
    }
    const bool overloaded =
        total_asked - total_granted > refused_part_of_overload * total_asked;
    level_ = overloaded ? max_min_level(asked, total_granted)
                        : std::numeric_limits<double>::infinity();
    renewed_at_ = clock_.now();
}

bool fleet_shares::known() const {
    return renewed_at_ != base::time_point{} &&
           clock_.now() - renewed_at_ < lifetime;
}

const organisation_share* fleet_shares::find(
    std::string_view organisation) const {
    const auto found = sums_.find(organisation);
    return found == sums_.end() || !known() ? nullptr : &found->second;
}

double fleet_shares::granted(std::string_view organisation) const {
    const auto* found = find(organisation);
    return found == nullptr ? 0 : found->granted;
}

double fleet_shares::asked(std::string_view organisation) const {
    const auto* found = find(organisation);
    return found == nullptr ? 0 : found->asked;
}

bool fleet_shares::is_short(std::string_view organisation) const {
    if (!known()) {
        return false;
    }
    const auto* found = find(organisation);
    if (found == nullptr) {
        // It got nothing of late, which matters while others are refused.
        return level_ != std::numeric_limits<double>::infinity();
    }
    return found->granted < short_part * std::min(found->asked, level_);
}

bool fleet_shares::is_below_level(std::string_view organisation) const {
    return !known() || granted(organisation) < level_;
}

bool fleet_shares::is_above_level(std::string_view organisation) const {
    return known() && granted(organisation) > level_;
}

base::duration fleet_shares::backlog_time(std::string_view organisation) const {
    const auto* found = find(organisation);
    if (found == nullptr || found->granted <= 0) {
        return base::duration(0);
    }
    const std::chrono::duration<double> time =
        service_rates::memory *
        (std::max(found->asked - found->granted, 0.0) / found->granted);
    return std::chrono::duration_cast<base::duration>(time);
}

}  // namespace bronzehub::overload
