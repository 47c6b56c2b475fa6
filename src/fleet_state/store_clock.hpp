// Turns moments of the store's clock into moments of this host's clock.
//
// What one host read from the store is handed on to others with the store's
// time of the reading, so that a message that was late or lay unread on a
// suspended machine does not look newer than it is.
#ifndef BRONZEHUB_FLEET_STATE_STORE_CLOCK_HPP
#define BRONZEHUB_FLEET_STATE_STORE_CLOCK_HPP

#include <chrono>
#include <optional>

#include "base/clock.hpp"

namespace bronzehub::fleet_state {

// Not thread-safe.
class store_clock {
public:
    // A response said `store_time`; its request was sent at `sent_at`.
    void on_response(base::time_point sent_at,
                     std::chrono::milliseconds store_time);

    // The latest moment of this host's clock that is certainly not after
    // `store_time`, at most `now`. Nothing before the first response.
    std::optional<base::time_point> to_local(
        std::chrono::milliseconds store_time, base::time_point now) const;

private:
    // Local time of the store's zero; never later than the true one.
    std::optional<base::time_point> origin_;
    std::chrono::milliseconds newest_{};
};

}  // namespace bronzehub::fleet_state

#endif
