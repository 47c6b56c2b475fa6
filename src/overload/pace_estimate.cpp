#include "overload/pace_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace bronzehub::overload {
namespace {

using seconds = std::chrono::duration<double>;

constexpr double percent_of_usual = 100;

}  // namespace

void pace_estimate::on_report(std::uint32_t percent, base::time_point now) {
    const double limited = std::clamp(percent, min_percent, max_percent);
    const bool is_first = reported_at_ == base::time_point{} ||
                          now - reported_at_ > report_lifetime;
    // Weighted by the time since the last report, so that many reports within
    // one disturbance count as one.
    const double weight = is_first
                              ? 1
                              : 1 - std::exp(-(seconds(now - reported_at_) /
                                               seconds(averaging_time)));
    mean_percent_ += weight * (limited - mean_percent_);
    reported_at_ = now;
}

double pace_estimate::ratio(base::time_point now) const {
    return reported_at_ == base::time_point{} ||
                   now - reported_at_ > report_lifetime
               ? 1
               : mean_percent_ / percent_of_usual;
}

}  // namespace bronzehub::overload
