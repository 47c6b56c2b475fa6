#include "admission/backlog.hpp"

#include <algorithm>

namespace bronzehub::admission {
namespace {

// Weight of the newest interval: the mean follows a change of the service
// rate within about twenty starts.
constexpr double newest_weight = 0.1;

// A queue that has not moved for four mean intervals is taken to be slower
// than its mean; a lower multiple is within the usual variation.
constexpr double standstill_weight = 0.25;

constexpr auto shortest_retry = std::chrono::seconds(1);
constexpr auto longest_retry = std::chrono::seconds(60);

std::chrono::seconds retry_after(base::duration wait) {
    return std::clamp(std::chrono::ceil<std::chrono::seconds>(wait),
                      std::chrono::seconds(shortest_retry),
                      std::chrono::seconds(longest_retry));
}

base::refusal refused(base::refusal_code code, const char* message,
                      base::duration wait) {
    return {.code = code,
            .outcome = base::call_outcome::not_run,
            .message = message,
            .retry_after = retry_after(wait)};
}

}  // namespace

void wait_estimator::started(base::time_point now, bool still_waiting) {
    if (last_start_) {
        const std::chrono::duration<double> latest = now - *last_start_;
        interval_ = interval_.count() == 0
                        ? latest
                        : interval_ + newest_weight * (latest - interval_);
    }
    last_start_ =
        still_waiting ? std::optional<base::time_point>(now) : std::nullopt;
}

base::duration wait_estimator::estimate(std::size_t ahead,
                                        base::time_point now) const {
    auto interval = interval_;
    if (last_start_) {
        const std::chrono::duration<double> still = now - *last_start_;
        interval = std::max(interval, still * standstill_weight);
    }
    return std::chrono::duration_cast<base::duration>(
        interval * static_cast<double>(ahead));
}

std::optional<base::refusal> backlog::check(std::size_t queue_length,
                                            base::duration estimated_wait,
                                            base::time_point now,
                                            base::time_point deadline) const {
    if (deadline <= now) {
        return refused(base::refusal_code::deadline_exceeded,
                       "the deadline has passed", estimated_wait);
    }
    if (queue_length >= limits_.per_queue) {
        return refused(base::refusal_code::backlog_full,
                       "too many calls of this organisation are waiting",
                       estimated_wait);
    }
    if (waiting_ >= limits_.in_all) {
        return refused(base::refusal_code::backlog_full,
                       "too many calls are waiting", estimated_wait);
    }
    if (estimated_wait > deadline - now) {
        return refused(base::refusal_code::deadline_unreachable,
                       "the estimated wait exceeds the deadline",
                       estimated_wait);
    }
    return std::nullopt;
}

}  // namespace bronzehub::admission
