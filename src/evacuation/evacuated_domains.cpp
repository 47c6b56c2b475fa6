#include "evacuation/evacuated_domains.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bronzehub::evacuation {

set_change evacuated_domains::on_set(domain_set domains,
                                     std::uint64_t version) {
    if (known_ && version <= version_) {
        return {};
    }
    return apply(std::move(domains), version);
}

set_change evacuated_domains::on_changes(std::uint64_t base_version,
                                         std::span<const domain_change> changes,
                                         std::uint64_t version) {
    if (!known_ || version_ < base_version || version <= version_) {
        return {};
    }
    domain_set domains = domains_;
    for (const domain_change& change : changes) {
        if (change.version <= version_) {
            continue;  // The known set contains it.
        }
        if (change.evacuated) {
            domains.insert(change.domain);
        } else {
            domains.erase(change.domain);
        }
    }
    return apply(std::move(domains), version);
}

set_change evacuated_domains::apply(domain_set domains, std::uint64_t version) {
    known_ = true;
    version_ = version;
    if (domains.size() > max_domains) {
        domains.erase(std::next(domains.begin(), max_domains), domains.end());
    }
    set_change change;
    std::ranges::set_difference(domains, domains_,
                                std::back_inserter(change.added));
    std::ranges::set_difference(domains_, domains,
                                std::back_inserter(change.removed));
    domains_ = std::move(domains);
    const base::time_point now = clock_.now();
    if (!change.is_empty()) {
        std::erase_if(taken_back_at_, [&](const auto& entry) {
            return now - entry.second > taken_back_lifetime ||
                   domains_.contains(entry.first);
        });
    }
    std::ranges::for_each(change.removed, [&](const std::string& domain) {
        taken_back_at_[domain] = now;
    });
    return change;
}

std::optional<base::time_point> evacuated_domains::taken_back_at(
    std::string_view domain) const {
    const auto found = taken_back_at_.find(domain);
    if (found == taken_back_at_.end() ||
        clock_.now() - found->second > taken_back_lifetime) {
        return std::nullopt;
    }
    return found->second;
}

}  // namespace bronzehub::evacuation
