#include "base/timer_queue.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace bronzehub::base {
namespace {

constexpr auto step = std::chrono::seconds(1);

// Guards against timers that run early, late or out of order.
TEST_CASE("due timers run in the order of due time and scheduling") {
    paused_clock time;
    timer_queue timers;
    std::string ran;
    timers.schedule(time.now() + 2 * step, [&] { ran += 'c'; });
    timers.schedule(time.now() + step, [&] { ran += 'a'; });
    timers.schedule(time.now() + step, [&] { ran += 'b'; });

    const auto [advance, expected] = GENERATE(
        table<int, std::string>({{0, ""}, {1, "ab"}, {2, "abc"}, {9, "abc"}}));
    time.advance(advance * step);
    timers.run_due(time.now());

    CHECK(ran == expected);
}

// Guards against a cancelled timer that still runs, and against a second
// cancellation that removes another timer.
TEST_CASE("a cancelled timer does not run") {
    paused_clock time;
    timer_queue timers;
    int runs = 0;
    const timer_id id = timers.schedule(time.now(), [&] { ++runs; });
    timers.cancel(id);
    timers.cancel(id);

    timers.run_due(time.now());

    CHECK(runs == 0);
    CHECK(!timers.next_due().has_value());
}

// Guards against a timer that a callback schedules for the current time and
// that does not run until the next call of `run_due`.
TEST_CASE("a timer scheduled by a callback for the same time runs") {
    paused_clock time;
    timer_queue timers;
    int runs = 0;
    timers.schedule(time.now(),
                    [&] { timers.schedule(time.now(), [&] { ++runs; }); });

    timers.run_due(time.now());

    CHECK(runs == 1);
}

}  // namespace
}  // namespace bronzehub::base
