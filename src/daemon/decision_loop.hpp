// The daemon's decision thread: one Asio loop that runs every deciding object.
//
// I/O threads post to it; nothing that belongs to it needs a lock.
#ifndef BRONZEHUB_DAEMON_DECISION_LOOP_HPP
#define BRONZEHUB_DAEMON_DECISION_LOOP_HPP

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <thread>

namespace bronzehub::daemon {

class decision_loop {
public:
    decision_loop();
    // Stops the thread; functions that were posted and did not run are
    // dropped.
    ~decision_loop();
    decision_loop(const decision_loop&) = delete;
    decision_loop& operator=(const decision_loop&) = delete;

    asio::io_context& context() { return context_; }

    // Runs `task` on the decision thread. Thread-safe.
    void post(std::function<void()> task);

    // Runs `task` on the decision thread and waits for it. Must not be called
    // on the decision thread itself.
    void run_and_wait(const std::function<void()>& task);

    // Runs `task` every `period` from now on. Call it before `start` or on the
    // decision thread.
    void every(std::chrono::milliseconds period, std::function<void()> task);

    // Runs `task` once after `delay`. Call it on the decision thread.
    void after(std::chrono::milliseconds delay, std::function<void()> task);

    void start();
    void stop();

private:
    struct periodic {
        asio::steady_timer timer;
        std::chrono::milliseconds period;
        std::function<void()> task;
    };

    void arm(periodic& entry);

    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::list<periodic> periodics_;
    std::thread thread_;
};

}  // namespace bronzehub::daemon

#endif
