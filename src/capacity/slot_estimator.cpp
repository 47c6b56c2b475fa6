#include "capacity/slot_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace bronzehub::capacity {
namespace {

// Before the first decrease the estimate rises by this share of itself, so
// that a large engine is not idle for a minute after it is added.
constexpr double first_increase = 0.25;

}  // namespace

slot_estimator::slot_estimator(slot_options options)
    : options_(options),
      slots_(std::clamp(options.initial_slots, options.least_slots,
                        options.most_slots)) {}

std::uint32_t slot_estimator::slots() const {
    return static_cast<std::uint32_t>(std::floor(slots_));
}

void slot_estimator::on_report(const load_report& report) {
    // A report that waits for calls is not replaced by the next one, else
    // calls longer than the report interval would never use any. A queue is
    // worth more than its absence.
    const bool replaces =
        !report_ || (report.queued > 0 && report_->queued == 0);
    if (replaces) {
        report_ = report;
        window_.after_report = 0;
    }
}

void slot_estimator::on_call_ended(const call_sample& sample) {
    if (sample.started_at < last_lowered_) {
        return;
    }
    ++window_.calls;
    window_.unit_time += sample.unit_time;
    window_.all_slots_in_use =
        window_.all_slots_in_use || sample.all_slots_in_use;
    if (report_ && sample.ended_at > report_->taken_at) {
        ++window_.after_report;
    }
    judge(sample.ended_at);
}

std::uint32_t slot_estimator::calls_needed() const {
    // A single call with an unlucky neighbour must not decide for a large
    // engine; more than 8 would delay the reaction of a small one.
    constexpr std::uint32_t most_calls = 8;
    return std::clamp(slots() / 4, 1U, most_calls);
}

void slot_estimator::judge(base::time_point now) {
    if (window_.calls < calls_needed()) {
        return;
    }
    const base::duration mean =
        window_.unit_time / static_cast<int>(window_.calls);
    if (mean > options_.target_unit_time) {
        const double excess =
            static_cast<double>(mean.count()) /
            static_cast<double>(options_.target_unit_time.count());
        lower(std::max(options_.decrease, 1 / excess), now);
        return;
    }
    if (!report_ || window_.after_report < calls_needed()) {
        // Only the latest calls are judged, else a long good time would hide
        // the beginning of a bad one.
        window_.calls = 0;
        window_.unit_time = {};
        return;
    }
    const bool queueing = report_->queued > 0;
    const bool full = window_.all_slots_in_use;
    report_.reset();
    window_ = {};
    if (queueing) {
        lower(options_.decrease, now);
    } else if (full) {
        raise();
    }
}

// A decrease is at least one slot, else a small engine would never shrink.
void slot_estimator::lower(double factor, base::time_point now) {
    lowered_once_ = true;
    last_lowered_ = now;
    window_ = {};
    const double lowered = std::min(slots_ * factor, slots_ - 1);
    slots_ = std::max(lowered, static_cast<double>(options_.least_slots));
}

void slot_estimator::raise() {
    const double step =
        lowered_once_ ? 1.0 : std::max(1.0, slots_ * first_increase);
    slots_ = std::min(slots_ + step, static_cast<double>(options_.most_slots));
}

}  // namespace bronzehub::capacity
