// The one thread of an entry daemon: sockets, timers and a clock.
#ifndef BRONZEHUB_ENTRY_EVENT_LOOP_HPP
#define BRONZEHUB_ENTRY_EVENT_LOOP_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <optional>

#include "base/clock.hpp"
#include "base/timer_queue.hpp"

namespace bronzehub::entry {

// Monotonic time that goes on while the machine is suspended. Ages of what is
// known must count that time.
base::clock boot_clock();

// Not thread-safe: everything runs on the thread that calls `run`.
class event_loop {
public:
    event_loop();

    asio::io_context& context() { return context_; }
    const base::clock& clock() const { return clock_; }
    base::time_point now() const { return clock_.now(); }

    base::timer_id run_after(base::duration delay,
                             base::timer_queue::callback run);
    void cancel(base::timer_id id) { timers_.cancel(id); }

    // Calls `run` now and then at this interval, as long as the loop runs.
    void run_every(base::duration interval, const std::function<void()>& run);

    // Scratch memory for one read; valid until the next read.
    std::array<char, 65536>& read_buffer() { return read_buffer_; }

    void run() { context_.run(); }
    void stop() { context_.stop(); }

private:
    void arm();

    asio::io_context context_{1};
    base::clock clock_;
    base::timer_queue timers_;
    asio::steady_timer timer_;
    std::optional<base::time_point> armed_for_;
    std::array<char, 65536> read_buffer_{};
};

}  // namespace bronzehub::entry

#endif
