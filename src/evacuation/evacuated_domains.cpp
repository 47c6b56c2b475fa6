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
    return change;
}

}  // namespace bronzehub::evacuation
