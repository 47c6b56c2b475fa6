#include "peer/send_queue.hpp"

#include <algorithm>
#include <utility>

namespace bronzehub::peer {
namespace {

const std::size_t usage_report_type =
    protocol::body(protocol::usage_report{}).index();

}  // namespace

send_queue::send_queue(queue_limits limits, base::clock time,
                       std::shared_ptr<counters> counts)
    : limits_(limits), time_(std::move(time)), counts_(std::move(counts)) {}

void send_queue::push(outgoing_message message) {
    const std::size_t size = message.bytes->size();
    while (!entries_.empty() && bytes_ + size > limits_.max_bytes) {
        drop_for_room();
    }
    bytes_ += size;
    entries_.push_back({std::move(message), time_.now()});
}

std::optional<outgoing_message> send_queue::pop() {
    const base::time_point oldest = time_.now() - limits_.max_age;
    while (!entries_.empty()) {
        entry next = take(entries_.begin());
        if (next.queued >= oldest) {
            return std::move(next.message);
        }
        counts_->dropped_expired.add();
    }
    return std::nullopt;
}

void send_queue::drop_for_room() {
    const auto report = std::ranges::find_if(entries_, [](const entry& each) {
        return each.message.type == usage_report_type;
    });
    const bool found = report != entries_.end();
    (found ? counts_->dropped_usage_reports : counts_->dropped_other).add();
    take(found ? report : entries_.begin());
}

send_queue::entry send_queue::take(
    const std::deque<entry>::iterator& position) {
    entry taken = std::move(*position);
    bytes_ -= taken.message.bytes->size();
    entries_.erase(position);
    return taken;
}

}  // namespace bronzehub::peer
