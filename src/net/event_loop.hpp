// The event loop of an entry daemon, which has one thread: sockets, timers and
// a clock.
#ifndef BRONZEHUB_NET_EVENT_LOOP_HPP
#define BRONZEHUB_NET_EVENT_LOOP_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <optional>

#include "base/clock.hpp"
#include "base/timer_queue.hpp"

namespace bronzehub::net {

// Returns CLOCK_BOOTTIME: monotonic time that includes time in which the
// machine is suspended, because cached data grows old during that time too.
base::clock boot_clock();

// Not thread-safe: all callbacks run on the thread that calls `run`.
class event_loop {
public:
    event_loop();

    asio::io_context& context() { return context_; }
    const base::clock& clock() const { return clock_; }
    base::time_point now() const { return clock_.now(); }

    // Calls `run` once after `delay`. May be a few ms late, because timers that
    // are due at about the same time run together.
    base::timer_id run_after(base::duration delay,
                             base::timer_queue::callback run);
    void cancel(base::timer_id id) { timers_.cancel(id); }

    // Calls `run` at once and then repeatedly after each `interval`.
    void run_every(base::duration interval, const std::function<void()>& run);

    // Shared buffer for one read; its contents are valid until the next read.
    std::array<char, 65536>& read_buffer() { return read_buffer_; }

    void run() { context_.run(); }
    void stop() { context_.stop(); }

private:
    void arm_timer();

    asio::io_context context_{1};
    base::clock clock_;
    base::timer_queue timers_;
    asio::steady_timer timer_;
    // When `timer_` expires; empty if it is not running.
    std::optional<base::time_point> timer_due_;
    std::array<char, 65536> read_buffer_{};
};

}  // namespace bronzehub::net

#endif
