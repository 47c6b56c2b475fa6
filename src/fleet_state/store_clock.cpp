#include "fleet_state/store_clock.hpp"

#include <algorithm>

namespace bronzehub::fleet_state {
namespace {

// Responses may overtake each other by this much; beyond it, the store's clock
// began anew.
constexpr std::chrono::seconds reordering{10};

}  // namespace

void store_clock::on_response(base::time_point sent_at,
                              std::chrono::milliseconds store_time) {
    const base::time_point origin = sent_at - store_time;
    if (!origin_ || store_time + reordering < newest_) {
        origin_ = origin;
        newest_ = store_time;
        return;
    }
    // The response was made after the request was sent, so each origin is a
    // lower bound and the highest one is the closest.
    origin_ = std::max(*origin_, origin);
    newest_ = std::max(newest_, store_time);
}

std::optional<base::time_point> store_clock::to_local(
    std::chrono::milliseconds store_time, base::time_point now) const {
    if (!origin_) {
        return std::nullopt;
    }
    return std::min(*origin_ + store_time, now);
}

}  // namespace bronzehub::fleet_state
