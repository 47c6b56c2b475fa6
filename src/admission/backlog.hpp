// Bounds on waiting calls and the estimate of how long a call will wait.
//
// A flood by one organisation fills its own bound and leaves room for the
// others; the bound in all protects the daemon's memory.
#ifndef BRONZEHUB_ADMISSION_BACKLOG_HPP
#define BRONZEHUB_ADMISSION_BACKLOG_HPP

#include <cstddef>
#include <optional>

#include "base/clock.hpp"
#include "base/refusal.hpp"

namespace bronzehub::admission {

struct backlog_limits {
    std::size_t per_queue = 256;
    std::size_t in_all = 4096;
};

// Measures how fast a queue is served. Not thread-safe.
class wait_estimator {
public:
    // A call left the queue for a backend server. `still_waiting` tells
    // whether others wait behind it: only then does the next start measure
    // the service and not the arrivals.
    void started(base::time_point now, bool still_waiting);

    // How long a call with `ahead` calls before it will wait. Zero while
    // nothing is known.
    base::duration estimate(std::size_t ahead, base::time_point now) const;

private:
    std::optional<base::time_point> last_start_;
    std::chrono::duration<double> interval_{};
};

// Counts waiting calls in all. Not thread-safe.
class backlog {
public:
    explicit backlog(backlog_limits limits) : limits_(limits) {}

    // Whether a call may join a queue of `queue_length` calls.
    std::optional<base::refusal> check(std::size_t queue_length,
                                       base::duration estimated_wait,
                                       base::time_point now,
                                       base::time_point deadline) const;

    void add() { ++waiting_; }
    void remove() { --waiting_; }
    std::size_t waiting() const { return waiting_; }

private:
    backlog_limits limits_;
    std::size_t waiting_ = 0;
};

}  // namespace bronzehub::admission

#endif
