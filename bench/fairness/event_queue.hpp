// Events of a simulated run, in order of time and then of scheduling.
#ifndef BRONZEHUB_BENCH_FAIRNESS_EVENT_QUEUE_HPP
#define BRONZEHUB_BENCH_FAIRNESS_EVENT_QUEUE_HPP

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/clock.hpp"

namespace bronzehub::bench {

// Not thread-safe. Time stands still between events.
class event_queue {
public:
    base::clock clock() const { return time_.view(); }
    base::time_point now() const { return time_.now(); }

    void at(base::time_point due, std::function<void()> run) {
        events_.push({due, next_++, std::move(run)});
    }
    void after(base::duration delay, std::function<void()> run) {
        at(now() + delay, std::move(run));
    }

    void run_until(base::time_point end) {
        while (!events_.empty() && events_.top().due <= end) {
            // The queue only hands out constant elements; the event is
            // removed at once, so moving its callback out is safe.
            auto run = std::move(const_cast<event&>(events_.top()).run);
            const base::time_point due = events_.top().due;
            events_.pop();
            if (due > now()) {
                time_.advance(due - now());
            }
            run();
        }
        time_.advance(end - now());
    }

private:
    struct event {
        base::time_point due;
        std::uint64_t sequence = 0;
        std::function<void()> run;

        bool operator<(const event& other) const {
            return std::pair(due, sequence) >
                   std::pair(other.due, other.sequence);
        }
    };

    base::paused_clock time_;
    std::priority_queue<event> events_;
    std::uint64_t next_ = 0;
};

}  // namespace bronzehub::bench

#endif
