#include "net/event_loop.hpp"

#include <algorithm>
#include <ctime>
#include <utility>

namespace bronzehub::net {
namespace {

// Shortest delay of the system timer. Timers due within it run together, which
// saves wake-ups.
constexpr std::chrono::milliseconds min_timer_delay{2};

}  // namespace

base::clock boot_clock() {
    return base::clock([] {
        timespec now{};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return base::time_point(std::chrono::seconds(now.tv_sec) +
                                std::chrono::nanoseconds(now.tv_nsec));
    });
}

event_loop::event_loop() : clock_(boot_clock()), timer_(context_) {}

base::timer_id event_loop::run_after(base::duration delay,
                                     base::timer_queue::callback run) {
    const auto id = timers_.schedule(now() + delay, std::move(run));
    arm_timer();
    return id;
}

void event_loop::run_every(base::duration interval,
                           const std::function<void()>& run) {
    run();
    run_after(interval, [this, interval, run] { run_every(interval, run); });
}

void event_loop::arm_timer() {
    const auto due = timers_.next_due();
    if (!due || (timer_due_ && *timer_due_ <= *due)) {
        return;
    }
    timer_due_ = due;
    const auto delay = std::max<base::duration>(*due - now(), min_timer_delay);
    timer_.expires_after(delay);
    timer_.async_wait([this](const asio::error_code& error) {
        if (error) {
            return;  // Cancelled: the timer was set to an earlier time.
        }
        timer_due_.reset();
        timers_.run_due(now());
        arm_timer();
    });
}

}  // namespace bronzehub::net
