// Callbacks ordered by the time at which they are due.
//
// The owner decides when to run them: a daemon arms one Asio timer for
// `next_due`, a test advances a paused clock and calls `run_due`.
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

// Not thread-safe; belongs to one thread.
class timer_queue {
public:
    using callback = std::function<void()>;

    // Schedules `run` for `due`. O(log n).
    timer_id schedule(time_point due, callback run);

    // Removes a timer. A timer that ran already is ignored. O(log n).
    void cancel(timer_id id);

    // Runs every timer due at or before `now`, in order of due time and then
    // of scheduling. Timers that a callback schedules for `now` or earlier run
    // in the same call.
    void run_due(time_point now);

    // The due time of the next timer, or nothing when none is waiting.
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
