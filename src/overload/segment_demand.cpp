#include "overload/segment_demand.hpp"

#include <algorithm>
#include <cmath>

namespace bronzehub::overload {

double segment_demand::decayed(const count& entry) const {
    using seconds = std::chrono::duration<double>;
    return entry.value *
           std::exp(-seconds(clock_.now() - entry.at) / seconds(decay_time));
}

void segment_demand::on_homes_full(std::uint64_t part) {
    count& entry = counts_[part];
    entry.value = entry.value == 0 ? 1 : decayed(entry) + 1;
    entry.at = clock_.now();
}

std::size_t segment_demand::home_count(std::uint64_t part) const {
    const auto found = counts_.find(part);
    if (found == counts_.end()) {
        return min_homes;
    }
    const auto more = static_cast<std::size_t>(decayed(found->second));
    return std::min(min_homes + more, max_homes);
}

void segment_demand::prune() {
    std::erase_if(counts_, [this](const auto& entry) {
        return decayed(entry.second) < 1;
    });
}

}  // namespace bronzehub::overload
