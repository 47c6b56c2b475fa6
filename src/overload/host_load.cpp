#include "overload/host_load.hpp"

#include <algorithm>

namespace bronzehub::overload {
namespace {

// Weight of a sample in the smoothed lateness: a single stall, for example
// while a large configuration is read, must not turn callers away.
constexpr int smoothing_divisor = 2;
// A longer stall is a machine that stood still, not one that is busy.
constexpr std::chrono::milliseconds longest_sample{200};
// Time for which one sample counts: a single stall is not a second of overload.
constexpr std::chrono::milliseconds longest_step{40};

using seconds = std::chrono::duration<double>;

}  // namespace

bool host_load::accept() {
    refusals_due_ += share_;
    if (refusals_due_ < 1) {
        return true;
    }
    refusals_due_ -= 1;
    return false;
}

void host_load::defer_refusal() {
    refusals_due_ = std::min(refusals_due_ + 1, most_refusals_due);
}

base::duration host_load::event_batching_delay(base::duration limit) const {
    if (!is_late()) {
        return base::duration(0);
    }
    return std::max(limit / event_hold_divisor - lateness_, base::duration(0));
}

void host_load::on_sample(base::duration lateness) {
    lateness =
        std::clamp<base::duration>(lateness, base::duration(0), longest_sample);
    lateness_ += (lateness - lateness_) / smoothing_divisor;
    const double error = seconds(lateness_) / seconds(target_lateness) - 1;
    const seconds passed =
        std::min<base::duration>(sample_interval + lateness, longest_step);
    integral_ = std::clamp(
        integral_ + integral_gain_per_s * passed.count() * error, 0.0, 1.0);
    share_ = std::clamp(integral_ + proportional_gain * error, 0.0, 1.0);
    const bool against = ready_ ? share_ > unready_share : share_ < ready_share;
    if (!against) {
        against_since_.reset();
        return;
    }
    const base::time_point now = clock_.now();
    against_since_ = against_since_.value_or(now);
    if (now - *against_since_ >= (ready_ ? base::duration(unready_after)
                                         : base::duration(ready_after))) {
        ready_ = !ready_;
        against_since_.reset();
    }
}

}  // namespace bronzehub::overload
