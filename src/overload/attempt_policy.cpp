#include "overload/attempt_policy.hpp"

#include <algorithm>
#include <array>

namespace bronzehub::overload {
namespace {

constexpr int first_server_error = 500;
// The backend server's own deadline passed; another one has no time either.
constexpr int gateway_timeout = 504;

// Statuses that tell a caller that its request has not run and never will.
bool promises_not_run(int status) {
    constexpr std::array promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

}  // namespace

attempt_action without_repeat(const attempt_facts& facts) {
    if (facts.end == attempt_end::stream_ended) {
        return attempt_action::deliver;
    }
    // Whatever else ended the attempt, the caller's stream lacks its end.
    if (facts.response_started) {
        return attempt_action::abort_response;
    }
    switch (facts.end) {
        case attempt_end::answered:
            return facts.earlier_may_have_run && promises_not_run(facts.status)
                       ? attempt_action::fail
                       : attempt_action::deliver;
        case attempt_end::stream_ended:
            return attempt_action::deliver;
        case attempt_end::not_sent:
        case attempt_end::rejected:
            return attempt_action::refuse;
        case attempt_end::broken:
            break;
    }
    return attempt_action::fail;
}

attempt_action decide_after_attempt(const attempt_facts& facts) {
    if (facts.end == attempt_end::not_sent && facts.time_left) {
        return attempt_action::send_elsewhere;
    }
    const bool may_send =
        facts.time_left && facts.attempts_sent < facts.max_attempts;
    if (!may_send) {
        return without_repeat(facts);
    }
    switch (facts.end) {
        case attempt_end::rejected:
            return attempt_action::send_again;
        case attempt_end::broken:
            if (facts.response_started ? facts.resumable : facts.repeatable) {
                return attempt_action::send_again;
            }
            break;
        case attempt_end::answered: {
            const bool other_may_help =
                facts.response_started
                    ? facts.resumable
                    : facts.repeatable && facts.status >= first_server_error;
            if (other_may_help && facts.status != gateway_timeout) {
                return attempt_action::send_again;
            }
            break;
        }
        case attempt_end::stream_ended:
        case attempt_end::not_sent:
            break;
    }
    return without_repeat(facts);
}

std::string_view to_string(attempt_end end) {
    switch (end) {
        case attempt_end::answered:
            return "answered";
        case attempt_end::stream_ended:
            return "stream ended";
        case attempt_end::not_sent:
            return "not sent";
        case attempt_end::rejected:
            return "rejected";
        case attempt_end::broken:
            return "broken";
    }
    return "unknown";
}

}  // namespace bronzehub::overload
