// Converts times of the store's clock to times of this host's clock.
//
// A host that forwards data from the store adds the store's time of the read.
// The data then does not look newer than it is when the message arrives late or
// stays unread while the receiving machine is suspended.
#ifndef BRONZEHUB_FLEET_STATE_STORE_CLOCK_HPP
#define BRONZEHUB_FLEET_STATE_STORE_CLOCK_HPP

#include <chrono>
#include <optional>

#include "base/clock.hpp"

namespace bronzehub::fleet_state {

// Not thread-safe.
class store_clock {
public:
    // Records that the response to a request sent at `sent_at` contained
    // `store_time`.
    void on_response(base::time_point sent_at,
                     std::chrono::milliseconds store_time);

    // The latest time of this host's clock that is certainly not after
    // `store_time`, but at most `now`. Empty before the first response.
    std::optional<base::time_point> to_local(
        std::chrono::milliseconds store_time, base::time_point now) const;

private:
    // Lower bound of the local time at which the store's clock was zero.
    std::optional<base::time_point> origin_;
    std::chrono::milliseconds newest_store_time_{};
};

}  // namespace bronzehub::fleet_state

#endif
