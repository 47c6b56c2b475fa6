// A queue of callbacks, ordered by the time at which they are due.
//
// The owner runs the due callbacks: a daemon sets one Asio timer to `next_due`,
// a test advances a paused clock and calls `run_due`.
#ifndef BRONZEHUB_BASE_TIMER_QUEUE_HPP
#define BRONZEHUB_BASE_TIMER_QUEUE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "base/clock.hpp"

namespace bronzehub::base {

enum class timer_id : std::uint64_t {};

// Not thread-safe.
class timer_queue {
public:
    using callback = std::function<void()>;

    // Adds a timer whose callback `run` is due at `due`. O(log n).
    timer_id schedule(time_point due, callback run);

    // Removes a timer. Does nothing when the timer has already run. O(log n).
    void cancel(timer_id id);

    // Runs all timers that are due at or before `now`, in the order of their
    // due times; timers with equal due times run in the order of scheduling.
    // Timers that a callback schedules for `now` or earlier run in the same
    // call.
    void run_due(time_point now);

    // The due time of the next timer, or nullopt when there is none.
    std::optional<time_point> next_due() const;

private:
    struct key {
        time_point due;
        std::uint64_t sequence;
        auto operator<=>(const key&) const = default;
    };

    std::map<key, callback> timers_;
    std::unordered_map<std::uint64_t, time_point> due_by_sequence_;
    std::uint64_t next_sequence_ = 0;
};

}  // namespace bronzehub::base

#endif
