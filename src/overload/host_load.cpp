#include "overload/host_load.hpp"

#include <algorithm>

namespace bronzehub::overload {
namespace {

// Weight of a sample that is higher and of one that is lower than the smoothed
// value: an overload shows within a few samples and is forgotten more slowly.
constexpr int rise_divisor = 4;
constexpr int fall_divisor = 8;
// A longer stall is a machine that stood still, not one that is busy.
constexpr std::chrono::milliseconds longest_sample{200};

}  // namespace

double host_load::refused_share() const {
    const std::chrono::duration<double> above = lateness_ - refuse_from;
    const std::chrono::duration<double> range = refuse_all - refuse_from;
    return std::clamp(above / range, 0.0, 1.0);
}

void host_load::on_sample(base::duration lateness) {
    lateness =
        std::clamp<base::duration>(lateness, base::duration(0), longest_sample);
    const base::duration change = lateness - lateness_;
    lateness_ +=
        change / (change > base::duration(0) ? rise_divisor : fall_divisor);
    const double share = refused_share();
    const bool against = ready_ ? share > unready_share : share < ready_share;
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
