#include "daemon/decision_loop.hpp"

#include <asio/post.hpp>
#include <future>
#include <memory>
#include <utility>

#include "configuration/snapshot_holder.hpp"

namespace bronzehub::daemon {

decision_loop::decision_loop() : work_(asio::make_work_guard(context_)) {}

decision_loop::~decision_loop() {
    stop();
}

void decision_loop::post(std::function<void()> task) {
    asio::post(context_, std::move(task));
}

void decision_loop::run_and_wait(const std::function<void()>& task) {
    std::promise<void> done;
    post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void decision_loop::every(std::chrono::milliseconds period,
                          std::function<void()> task) {
    periodics_.push_back(
        {asio::steady_timer(context_), period, std::move(task)});
    arm(periodics_.back());
}

void decision_loop::after(std::chrono::milliseconds delay,
                          std::function<void()> task) {
    const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait(
        [timer, task = std::move(task)](const asio::error_code& error) {
            if (!error) {
                task();
            }
        });
}

void decision_loop::arm(periodic& entry) {
    entry.timer.expires_after(entry.period);
    entry.timer.async_wait([this, &entry](const asio::error_code& error) {
        if (error) {
            return;
        }
        entry.task();
        arm(entry);
    });
}

void decision_loop::start() {
    thread_ = std::thread([this] {
        const configuration::rcu_thread registration;
        context_.run();
    });
}

void decision_loop::stop() {
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

}  // namespace bronzehub::daemon
