// The monotonic time that all libraries of bronzehub use.
//
// Code whose decisions depend on time takes a `clock` and never calls the
// standard clocks itself, so that a test can stop and advance time. Wall-clock
// time is only used in logs and audit rows.
//
// Example:
//   paused_clock time;
//   lease_holder holder(time.view(), ...);
//   time.advance(std::chrono::seconds(3));
#ifndef BRONZEHUB_BASE_CLOCK_HPP
#define BRONZEHUB_BASE_CLOCK_HPP

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>

namespace bronzehub::base {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// Reads monotonic time. Copies read the same source. Thread-safe when the
// source function is.
class clock {
public:
    using source = std::function<time_point()>;

    explicit clock(source read_time) : read_time_(std::move(read_time)) {}

    time_point now() const { return read_time_(); }

private:
    source read_time_;
};

// The monotonic clock of the machine.
clock monotonic_clock();

// A clock whose time changes only by `advance`, for tests and simulations. Its
// views share its time and may outlive it.
class paused_clock {
public:
    paused_clock();

    // A clock that reads this time.
    clock view() const;
    time_point now() const;

    // Moves time forward. `step` must not be negative.
    void advance(duration step);

private:
    std::shared_ptr<std::atomic<duration::rep>> elapsed_;
};

}  // namespace bronzehub::base

#endif
