#include "fleet_state/store_clock.hpp"

#include <algorithm>

namespace bronzehub::fleet_state {
namespace {

// Responses may arrive out of order by this much. A store time that is older
// still means that the store's clock restarted from zero.
constexpr std::chrono::seconds max_reordering{10};

}  // namespace

void store_clock::on_response(base::time_point sent_at,
                              std::chrono::milliseconds store_time) {
    const base::time_point origin = sent_at - store_time;
    if (!origin_ || store_time + max_reordering < newest_store_time_) {
        origin_ = origin;
        newest_store_time_ = store_time;
        return;
    }
    // The store responded after the request was sent, so each origin is a lower
    // bound and the highest one is the closest.
    origin_ = std::max(*origin_, origin);
    newest_store_time_ = std::max(newest_store_time_, store_time);
}

std::optional<base::time_point> store_clock::to_local(
    std::chrono::milliseconds store_time, base::time_point now) const {
    if (!origin_) {
        return std::nullopt;
    }
    return std::min(*origin_ + store_time, now);
}

}  // namespace bronzehub::fleet_state
