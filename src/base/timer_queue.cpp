#include "base/timer_queue.hpp"

#include <utility>

namespace bronzehub::base {

timer_id timer_queue::schedule(time_point due, callback run) {
    const std::uint64_t sequence = next_sequence_++;
    timers_.emplace(key{due, sequence}, std::move(run));
    due_by_sequence_.emplace(sequence, due);
    return timer_id(sequence);
}

void timer_queue::cancel(timer_id id) {
    const auto found = due_by_sequence_.find(static_cast<std::uint64_t>(id));
    if (found == due_by_sequence_.end()) {
        return;
    }
    timers_.erase(key{found->second, found->first});
    due_by_sequence_.erase(found);
}

void timer_queue::run_due(time_point now) {
    while (!timers_.empty() && timers_.begin()->first.due <= now) {
        const auto first = timers_.begin();
        const callback run = std::move(first->second);
        due_by_sequence_.erase(first->first.sequence);
        timers_.erase(first);
        run();
    }
}

std::optional<time_point> timer_queue::next_due() const {
    if (timers_.empty()) {
        return std::nullopt;
    }
    return timers_.begin()->first.due;
}

}  // namespace bronzehub::base
