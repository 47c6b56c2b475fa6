#include "hedging/second_attempt_policy.hpp"

#include <bit>

namespace bronzehub::hedging {

void second_attempt_policy::on_response(std::string_view kind,
                                        base::duration elapsed) {
    if (is_enabled()) {
        latencies_.on_response(kind, elapsed);
    }
}

std::optional<base::duration> second_attempt_policy::delay(
    const attempt_description& attempt) const {
    if (!is_enabled() || !attempt.repeatable ||
        attempt.attempts_sent >= attempt.max_attempts) {
        return std::nullopt;
    }
    const auto delay = latencies_.quantile(attempt.kind, 1 - limit_.share());
    // A second attempt must have as much time as most requests take.
    if (!delay || 2 * *delay > attempt.time_left) {
        return std::nullopt;
    }
    return delay;
}

bool second_attempt_policy::has_room(std::uint32_t requests,
                                     std::uint32_t slots) {
    return requests < max_slots_in_use * slots;
}

std::string make_kind(std::string_view route, std::uint64_t prompt_tokens) {
    std::string result(route);
    result.push_back('/');
    return result.append(std::to_string(std::bit_width(prompt_tokens)));
}

}  // namespace bronzehub::hedging
