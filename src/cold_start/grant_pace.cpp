#include "cold_start/grant_pace.hpp"

#include <algorithm>
#include <cmath>

namespace bronzehub::cold_start {
namespace {

// Shares of the bound: two first granters and one second one add up to it.
constexpr double first_share = 0.4;
constexpr double second_share = 0.2;
// Grants that are remembered; larger limits are reduced to it.
constexpr std::size_t max_grants = 256;

constexpr auto remembered_span = limited_span + grant_lifetime;

std::size_t to_limit(double requests) {
    return static_cast<std::size_t>(
        std::clamp(std::floor(requests), 0.0, double{max_grants}));
}

}  // namespace

pace_limits divide_pace(double tolerated, double max_requests) {
    return {to_limit(std::min(tolerated, first_share * max_requests)),
            to_limit(std::min(tolerated, second_share * max_requests))};
}

std::size_t grant_pace::count_recent(base::time_point now) const {
    return static_cast<std::size_t>(
        std::ranges::end(grants_) -
        std::ranges::upper_bound(grants_, now - remembered_span));
}

bool grant_pace::allows(base::time_point now, std::size_t limit,
                        std::uint32_t prompt_tokens) const {
    const std::size_t usable =
        prompt_tokens <= max_short_prompt_tokens ? limit : (limit + 1) / 2;
    return count_recent(now) < usable &&
           time_to_next(now, limit) == base::duration(0);
}

base::duration grant_pace::time_to_next(base::time_point now,
                                        std::size_t limit) const {
    if (limit == 0) {
        return limited_span;
    }
    if (grants_.empty()) {
        return base::duration(0);
    }
    // Half of the mean interval keeps the requests apart and leaves room for
    // demand that is not even.
    const base::duration spacing =
        base::duration(remembered_span) / static_cast<int>(2 * limit);
    base::time_point next = grants_.back() + spacing;
    if (count_recent(now) >= limit) {
        next = std::max(next, grants_[grants_.size() - limit] +
                                  base::duration(remembered_span));
    }
    return std::max(next - now, base::duration(0));
}

void grant_pace::on_granted(base::time_point now) {
    grants_.push_back(now);
    if (grants_.size() > max_grants) {
        grants_.pop_front();
    }
    if (unanswered_since_ == base::time_point{}) {
        unanswered_since_ = now;
    }
}

bool grant_pace::is_silent(base::time_point now) const {
    return unreached_count_ >= unreached_limit ||
           (last_event_at_ != base::time_point{} &&
            unanswered_since_ != base::time_point{} &&
            now - unanswered_since_ > silence_timeout);
}

void grant_pace::on_first_event(base::time_point now) {
    if (is_silent(now)) {
        returned_at_ = now;
    }
    last_event_at_ = now;
    unanswered_since_ = {};
    unreached_count_ = 0;
}

bool grant_pace::may_have_restarted(base::time_point now,
                                    base::duration cold_time) const {
    return is_silent(now) || (returned_at_ != base::time_point{} &&
                              now - returned_at_ < cold_time);
}

}  // namespace bronzehub::cold_start
