#include "evacuation/evacuated_domains.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bronzehub::evacuation {

using fleet_state::store_version;

namespace {

void limit_size(domain_set& domains) {
    if (domains.size() > evacuated_domains::max_domains) {
        domains.erase(
            std::next(domains.begin(), evacuated_domains::max_domains),
            domains.end());
    }
}

}  // namespace

evacuated_domains::evacuated_domains(base::clock clock)
    : clock_(std::move(clock)) {}

set_change evacuated_domains::on_set(domain_report report) {
    if (known_ && report.version < report_.version) {
        return {};
    }
    const bool is_news = !known_ || report.version > report_.version;
    if (!known_ || report.version.era > report_.version.era) {
        report_.unconfirmed = std::move(report.unconfirmed);
        report_.unconfirmed.insert(domains_.begin(), domains_.end());
        confirm_until_ = clock_.now() + rewrite_time;
    }
    if (is_news) {
        known_ = true;
        report_.version = report.version;
        report_.stored = std::move(report.stored);
    }
    return apply();
}

set_change evacuated_domains::on_changes(store_version base_version,
                                         std::span<const domain_change> changes,
                                         store_version version) {
    if (!known_ || base_version.era != version.era ||
        report_.version < base_version || version < report_.version) {
        return {};
    }
    const store_version known = std::exchange(report_.version, version);
    for (const domain_change& change : changes) {
        const store_version at{version.era, change.version};
        if (at <= known || at > version) {
            continue;  // The known set contains it, or a later one will.
        }
        if (change.evacuated) {
            report_.stored.insert(change.domain);
        } else {
            report_.stored.erase(change.domain);
            report_.unconfirmed.erase(change.domain);
        }
    }
    return apply();
}

set_change evacuated_domains::apply() {
    limit_size(report_.stored);
    if (clock_.now() >= confirm_until_) {
        report_.unconfirmed.clear();
    }
    std::erase_if(report_.unconfirmed, [this](const std::string& domain) {
        return report_.stored.contains(domain);
    });
    limit_size(report_.unconfirmed);
    domain_set domains = report_.stored;
    domains.insert(report_.unconfirmed.begin(), report_.unconfirmed.end());
    limit_size(domains);
    set_change change;
    std::ranges::set_difference(domains, domains_,
                                std::back_inserter(change.added));
    std::ranges::set_difference(domains_, domains,
                                std::back_inserter(change.removed));
    domains_ = std::move(domains);
    return change;
}

}  // namespace bronzehub::evacuation
