#include "fleet_state/store_version.hpp"

#include <utility>

namespace bronzehub::fleet_state {

store_era::observation store_era::on_response(
    std::optional<std::uint64_t> announced) {
    const std::uint64_t era = announced.value_or(newest_);
    if (era > newest_) {
        newest_ = era;
        last_fault_ = change::none;
        return {era, change::risen};
    }
    change fault = change::none;
    if (era < newest_) {
        fault = change::fallen;
    } else if (!announced && newest_ > 0) {
        fault = change::missing;
    }
    const bool is_repeated = std::exchange(last_fault_, fault) == fault;
    return {era, is_repeated ? change::none : fault};
}

}  // namespace bronzehub::fleet_state
