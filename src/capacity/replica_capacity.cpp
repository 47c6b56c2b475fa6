#include "capacity/replica_capacity.hpp"

#include <algorithm>

namespace bronzehub::capacity {
namespace {

void decrement(std::uint32_t& count) {
    count -= count > 0 ? 1 : 0;
}

}  // namespace

base::duration unit_time(const released_call& call) {
    if (call.output_units < 2 || call.total <= call.first_byte) {
        return call.total;
    }
    return (call.total - call.first_byte) /
           static_cast<base::duration::rep>(call.output_units - 1);
}

replica_capacity::replica_capacity(capacity_options options, base::clock time)
    : time_(std::move(time)),
      estimator_(options.slots),
      health_(options.health) {}

std::uint64_t replica_capacity::on_granted() {
    ++running_;
    return health_.epoch();
}

void replica_capacity::on_released(const released_call& call) {
    const base::time_point now = time_.now();
    const bool full = in_use() >= estimator_.slots();
    decrement(call.epoch == health_.epoch() ? running_ : earlier_);
    if (call.result == call_result::completed) {
        estimator_.on_call_ended(
            {now - call.total, now, unit_time(call), full});
        health_.on_success(call.epoch, estimator_.slots());
    } else if (call.result == call_result::failed) {
        health_.on_failure(call.epoch, now);
    }
    if (health_.epoch() != counted_epoch_) {
        counted_epoch_ = health_.epoch();
        earlier_ += running_;
        running_ = 0;
    }
}

void replica_capacity::on_report(const load_report& report) {
    estimator_.on_report(report);
}

std::uint32_t replica_capacity::allowed() const {
    return leaving_ ? 0 : health_.allowed(estimator_.slots(), time_.now());
}

// Calls that started before an ejection may hang for their whole timeout, so
// they do not keep a probe from being sent.
std::uint32_t replica_capacity::free() const {
    const bool probing = health_.state() == health_state::ejected;
    const std::uint32_t used = probing ? running_ : in_use();
    return allowed() - std::min(allowed(), used);
}

std::uint32_t replica_capacity::in_use() const {
    return inherited_ + earlier_ + running_;
}

}  // namespace bronzehub::capacity
