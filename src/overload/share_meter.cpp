#include "overload/share_meter.hpp"

#include <algorithm>

namespace bronzehub::overload {

share_counts& share_meter::of(counts& all, std::string_view organisation) {
    const auto found = all.find(organisation);
    return found != all.end()
               ? found->second
               : all.emplace(std::string(organisation), share_counts{})
                     .first->second;
}

void share_meter::add(std::string_view organisation,
                      double share_counts::* what, double cost) {
    of(totals_, organisation).*what += cost;
    of(since_last_, organisation).*what += cost;
}

void share_meter::on_asked(std::string_view organisation, double cost) {
    add(organisation, &share_counts::asked, cost);
}

void share_meter::on_granted(std::string_view organisation, double cost) {
    add(organisation, &share_counts::granted, cost);
    recent_.on_granted(organisation, cost);
}

void share_meter::on_refused(std::string_view organisation, double cost,
                             refusal_point where) {
    add(organisation,
        where == refusal_point::host ? &share_counts::refused_by_host
                                     : &share_counts::refused_by_engines,
        cost);
    recent_.on_refused(organisation, cost);
}

std::vector<share_meter::line> share_meter::take_refused(std::size_t most) {
    std::vector<line> result;
    for (const auto& [organisation, counted] : since_last_) {
        if (counted.refused() > 0) {
            result.push_back({organisation, counted});
        }
    }
    since_last_.clear();
    std::ranges::sort(result, std::greater<>(), [](const line& each) {
        return each.since_last.refused();
    });
    result.resize(std::min(result.size(), most));
    return result;
}

}  // namespace bronzehub::overload
