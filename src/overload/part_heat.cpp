#include "overload/part_heat.hpp"

#include <algorithm>
#include <cmath>

namespace bronzehub::overload {

double part_heat::decayed(const count& entry) const {
    using seconds = std::chrono::duration<double>;
    return entry.value *
           std::exp(-seconds(clock_.now() - entry.at) / seconds(memory));
}

void part_heat::on_full(std::uint64_t part) {
    count& entry = counts_[part];
    entry.value = entry.value == 0 ? 1 : decayed(entry) + 1;
    entry.at = clock_.now();
}

std::size_t part_heat::homes(std::uint64_t part) const {
    const auto found = counts_.find(part);
    if (found == counts_.end()) {
        return calm_homes;
    }
    const auto more = static_cast<std::size_t>(decayed(found->second));
    return std::min(calm_homes + more, most_homes);
}

void part_heat::prune() {
    std::erase_if(counts_, [this](const auto& entry) {
        return decayed(entry.second) < 1;
    });
}

}  // namespace bronzehub::overload
