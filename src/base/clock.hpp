// Time as every library of bronzehub reads it.
//
// Code that decides takes a `clock` and never calls the standard clocks
// itself, so that a test can pause and advance time. Wall-clock time is only
// used in logs and audit rows.
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

// A source of monotonic time. A value: copies read the same source. Safe to
// call from several threads when the hook is.
class clock {
public:
    using source = std::function<time_point()>;

    explicit clock(source read) : read_(std::move(read)) {}

    time_point now() const { return read_(); }

private:
    source read_;
};

// The monotonic clock of the machine.
clock system_clock();

// A clock that stands still until it is advanced. The views it hands out
// share its time and may outlive it.
class paused_clock {
public:
    paused_clock();

    clock view() const;
    time_point now() const;

    // Moves time forward. `step` must not be negative.
    void advance(duration step);

private:
    std::shared_ptr<std::atomic<duration::rep>> elapsed_;
};

}  // namespace bronzehub::base

#endif
