#include "fleet_state/read_duty.hpp"

#include <algorithm>
#include <utility>

#include "base/hash.hpp"

namespace bronzehub::fleet_state {

std::size_t reader_rank(std::string_view self,
                        std::span<const std::string> others) {
    const auto score = [](std::string_view host) {
        return std::pair(base::stable_hash(host), host);
    };
    const auto own_score = score(self);
    return static_cast<std::size_t>(
        std::ranges::count_if(others, [&](const std::string& other) {
            return other != self && score(other) > own_score;
        }));
}

bool should_read(const reader_selection_options& options, std::size_t rank,
                 base::duration age) {
    if (rank == 0) {
        return true;
    }
    const auto ranks_after_first = static_cast<base::duration::rep>(rank - 1);
    return age > std::min(options.first_backup_age +
                              ranks_after_first * options.backup_age_step,
                          options.max_backup_age);
}

}  // namespace bronzehub::fleet_state
