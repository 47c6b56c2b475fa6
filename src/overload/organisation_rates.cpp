#include "overload/organisation_rates.hpp"

#include <algorithm>
#include <cmath>

namespace bronzehub::overload {

double organisation_rates::decay_factor(const decaying_sums& entry) const {
    using seconds = std::chrono::duration<double>;
    return std::exp(-seconds(clock_.now() - entry.updated_at) /
                    seconds(decay_time));
}

organisation_rates::decaying_sums& organisation_rates::updated_sums(
    std::string_view organisation) {
    auto found = sums_.find(organisation);
    if (found == sums_.end()) {
        found = sums_.emplace(std::string(organisation), decaying_sums{}).first;
        found->second.updated_at = clock_.now();
    }
    decaying_sums& entry = found->second;
    const double factor = decay_factor(entry);
    entry.granted *= factor;
    entry.refused *= factor;
    entry.updated_at = clock_.now();
    return entry;
}

void organisation_rates::on_granted(std::string_view organisation,
                                    double cost) {
    updated_sums(organisation).granted += cost;
}

void organisation_rates::on_grant_unused(std::string_view organisation,
                                         double cost) {
    decaying_sums& entry = updated_sums(organisation);
    entry.granted = std::max(entry.granted - cost, 0.0);
}

void organisation_rates::on_refused(std::string_view organisation,
                                    double cost) {
    updated_sums(organisation).refused += cost;
}

double organisation_rates::granted(std::string_view organisation) const {
    const auto found = sums_.find(organisation);
    return found == sums_.end()
               ? 0
               : found->second.granted * decay_factor(found->second);
}

double organisation_rates::refused(std::string_view organisation) const {
    const auto found = sums_.find(organisation);
    return found == sums_.end()
               ? 0
               : found->second.refused * decay_factor(found->second);
}

double organisation_rates::max_granted() const {
    double largest = 0;
    for (const auto& [organisation, entry] : sums_) {
        largest = std::max(largest, entry.granted * decay_factor(entry));
    }
    return largest;
}

std::vector<organisation_usage> organisation_rates::usage() const {
    std::vector<organisation_usage> result;
    for (const auto& [organisation, entry] : sums_) {
        const double factor = decay_factor(entry);
        result.push_back({organisation,
                          (entry.granted + entry.refused) * factor,
                          entry.granted * factor});
    }
    return result;
}

void organisation_rates::prune() {
    std::erase_if(sums_, [this](const auto& entry) {
        const double factor = decay_factor(entry.second);
        return (entry.second.granted + entry.second.refused) * factor < 1;
    });
}

}  // namespace bronzehub::overload
