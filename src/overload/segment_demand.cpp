#include "overload/segment_demand.hpp"

#include <algorithm>
#include <cmath>

namespace bronzehub::overload {

double segment_demand::current_value(const decaying_count& count) const {
    using seconds = std::chrono::duration<double>;
    return count.value * std::exp(-seconds(clock_.now() - count.updated_at) /
                                  seconds(decay_time));
}

void segment_demand::on_homes_full(std::uint64_t segment) {
    decaying_count& count = counts_[segment];
    count.value = count.value == 0 ? 1 : current_value(count) + 1;
    count.updated_at = clock_.now();
}

std::size_t segment_demand::home_count(std::uint64_t segment) const {
    const auto found = counts_.find(segment);
    if (found == counts_.end()) {
        return min_homes;
    }
    const auto additional = static_cast<std::size_t>(
        current_value(found->second) / requests_per_home);
    return std::min(min_homes + additional, max_homes);
}

void segment_demand::prune() {
    std::erase_if(counts_, [this](const auto& entry) {
        return current_value(entry.second) < 1;
    });
}

}  // namespace bronzehub::overload
