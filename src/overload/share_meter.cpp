#include "overload/share_meter.hpp"

#include <algorithm>

namespace bronzehub::overload {

usage_counts& share_meter::find_or_create(counts_by_organisation& all,
                                          std::string_view organisation) {
    const auto found = all.find(organisation);
    return found != all.end()
               ? found->second
               : all.emplace(std::string(organisation), usage_counts{})
                     .first->second;
}

void share_meter::add(std::string_view organisation,
                      double usage_counts::* field, double cost) {
    find_or_create(totals_, organisation).*field += cost;
    find_or_create(since_last_, organisation).*field += cost;
}

void share_meter::on_requested(std::string_view organisation, double cost) {
    add(organisation, &usage_counts::requested, cost);
}

void share_meter::on_granted(std::string_view organisation, double cost) {
    add(organisation, &usage_counts::granted, cost);
    recent_.on_granted(organisation, cost);
}

void share_meter::on_grant_unused(std::string_view organisation, double cost) {
    add(organisation, &usage_counts::granted, -cost);
    recent_.on_grant_unused(organisation, cost);
}

void share_meter::on_refused(std::string_view organisation, double cost,
                             refusal_point where) {
    add(organisation,
        where == refusal_point::host ? &usage_counts::refused_by_host
                                     : &usage_counts::refused_by_engines,
        cost);
    recent_.on_refused(organisation, cost);
}

void share_meter::on_cost_corrected(std::string_view organisation,
                                    double difference) {
    add(organisation, &usage_counts::requested, difference);
    add(organisation, &usage_counts::granted, difference);
    if (difference < 0) {
        recent_.on_grant_unused(organisation, -difference);
    } else {
        recent_.on_granted(organisation, difference);
    }
}

std::vector<share_meter::refused_organisation> share_meter::take_most_refused(
    std::size_t max_count) {
    std::vector<refused_organisation> result;
    for (const auto& [organisation, counts] : since_last_) {
        if (counts.refused() > 0) {
            result.push_back({organisation, counts});
        }
    }
    since_last_.clear();
    std::ranges::sort(
        result, std::greater<>(),
        [](const refused_organisation& each) { return each.counts.refused(); });
    result.resize(std::min(result.size(), max_count));
    return result;
}

}  // namespace bronzehub::overload
