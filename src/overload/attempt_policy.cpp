#include "overload/attempt_policy.hpp"

#include <algorithm>
#include <array>

namespace bronzehub::overload {
namespace {

constexpr int first_server_error = 500;
// Not retried: the backend server ran out of time for the request, so another
// one has no time left either.
constexpr int gateway_timeout = 504;

// Whether the status tells the caller that its request was not executed and
// will not be.
bool denies_execution(int status) {
    constexpr std::array statuses{408, 421, 429, 503};
    return std::ranges::find(statuses, status) != statuses.end();
}

}  // namespace

bool is_usable(attempt_outcome outcome, int status) {
    return outcome == attempt_outcome::stream_ended ||
           (outcome == attempt_outcome::answered &&
            status < first_server_error && !denies_execution(status));
}

attempt_action decide_action_without_retry(const attempt_context& context) {
    if (context.outcome == attempt_outcome::stream_ended) {
        return attempt_action::deliver;
    }
    // Any other outcome leaves the caller with an incomplete response.
    if (context.response_started) {
        return attempt_action::abort_response;
    }
    switch (context.outcome) {
        case attempt_outcome::answered:
            // A server that did not execute the request has a header for that;
            // the status alone is no evidence.
            return denies_execution(context.status)
                       ? attempt_action::respond_bad_gateway
                       : attempt_action::deliver;
        case attempt_outcome::stream_ended:
            return attempt_action::deliver;
        case attempt_outcome::not_sent:
        case attempt_outcome::rejected:
            return attempt_action::respond_unavailable;
        case attempt_outcome::broken:
            break;
    }
    return attempt_action::respond_bad_gateway;
}

attempt_action decide_action(const attempt_context& context) {
    if (context.outcome == attempt_outcome::not_sent &&
        context.within_deadline) {
        return attempt_action::reroute;
    }
    const bool can_send =
        context.within_deadline && context.attempts_sent < context.max_attempts;
    if (!can_send) {
        return decide_action_without_retry(context);
    }
    switch (context.outcome) {
        case attempt_outcome::rejected:
            return attempt_action::retry;
        case attempt_outcome::broken:
            if (context.response_started ? context.resumable
                                         : context.idempotent) {
                return attempt_action::retry;
            }
            break;
        case attempt_outcome::answered: {
            const bool another_server_may_succeed =
                context.response_started
                    ? context.resumable
                    : context.idempotent &&
                          context.status >= first_server_error;
            if (another_server_may_succeed &&
                context.status != gateway_timeout) {
                return attempt_action::retry;
            }
            break;
        }
        case attempt_outcome::stream_ended:
        case attempt_outcome::not_sent:
            break;
    }
    return decide_action_without_retry(context);
}

std::string_view to_string(attempt_outcome outcome) {
    switch (outcome) {
        case attempt_outcome::answered:
            return "answered";
        case attempt_outcome::stream_ended:
            return "stream ended";
        case attempt_outcome::not_sent:
            return "not sent";
        case attempt_outcome::rejected:
            return "rejected";
        case attempt_outcome::broken:
            return "broken";
    }
    return "unknown";
}

}  // namespace bronzehub::overload
