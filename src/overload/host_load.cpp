#include "overload/host_load.hpp"

#include <algorithm>

namespace bronzehub::overload {
namespace {

// Inverse weight of a sample in the smoothed lateness. A single stall, for
// example while a large configuration is read, must not cause refusals.
constexpr int smoothing_divisor = 2;
// Upper limit of a sample. A longer stall means that the machine was suspended,
// not that it is busy.
constexpr std::chrono::milliseconds max_sample{200};
// Upper limit of the time for which one sample is integrated, so that a long
// stall does not count as a long overload.
constexpr std::chrono::milliseconds max_integration_step{40};

using seconds = std::chrono::duration<double>;

}  // namespace

bool host_load::accept() {
    refusals_due_ += refusal_ratio_;
    if (refusals_due_ < 1) {
        return true;
    }
    refusals_due_ -= 1;
    return false;
}

void host_load::defer_refusal() {
    refusals_due_ = std::min(refusals_due_ + 1, max_deferred_refusals);
}

base::duration host_load::event_batching_delay(
    base::duration delivery_limit) const {
    if (!is_late()) {
        return base::duration(0);
    }
    return std::max(delivery_limit / batching_delay_divisor - lateness_,
                    base::duration(0));
}

void host_load::on_sample(base::duration lateness) {
    lateness =
        std::clamp<base::duration>(lateness, base::duration(0), max_sample);
    lateness_ += (lateness - lateness_) / smoothing_divisor;
    const double error = seconds(lateness_) / seconds(target_lateness) - 1;
    const seconds elapsed = std::min<base::duration>(sample_interval + lateness,
                                                     max_integration_step);
    integral_ = std::clamp(
        integral_ + integral_gain_per_s * elapsed.count() * error, 0.0, 1.0);
    refusal_ratio_ =
        std::clamp(integral_ + proportional_gain * error, 0.0, 1.0);
    const bool transition_due = ready_ ? refusal_ratio_ > unready_refusal_ratio
                                       : refusal_ratio_ < ready_refusal_ratio;
    if (!transition_due) {
        transition_due_since_.reset();
        return;
    }
    const base::time_point now = clock_.now();
    transition_due_since_ = transition_due_since_.value_or(now);
    if (now - *transition_due_since_ >= (ready_
                                             ? base::duration(unready_after)
                                             : base::duration(ready_after))) {
        ready_ = !ready_;
        transition_due_since_.reset();
    }
}

}  // namespace bronzehub::overload
