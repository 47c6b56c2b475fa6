// What follows from the end of one attempt at a backend server.
//
// A pure function of what is known, so that every way in which an attempt can
// end stands in one table of tests.
#ifndef BRONZEHUB_OVERLOAD_ATTEMPT_POLICY_HPP
#define BRONZEHUB_OVERLOAD_ATTEMPT_POLICY_HPP

#include <cstdint>
#include <string_view>

namespace bronzehub::overload {

enum class attempt_outcome : std::uint8_t {
    // A whole response with the backend server's signature that is no stream.
    answered,
    // A stream of events reached its proper end.
    stream_ended,
    // No byte of the request left this host.
    not_sent,
    // The backend server states that it did not run the request.
    rejected,
    // The connection ended, or what came was no response to this request. The
    // request may have run.
    broken,
};

struct attempt_context {
    attempt_outcome outcome = attempt_outcome::broken;
    // Only for `answered`.
    int status = 0;
    // Running the request again does no harm.
    bool idempotent = false;
    // The caller has received the head of the response.
    bool response_started = false;
    // A stream can go on behind its last whole event.
    bool resumable = false;
    std::uint32_t attempts_sent = 0;
    std::uint32_t max_attempts = 1;
    bool within_deadline = true;
    // An attempt before this one may have run.
    bool earlier_attempt_may_have_run = false;
};

enum class attempt_action : std::uint8_t {
    deliver,
    // Send to another backend server, if the retry budget allows it.
    retry,
    // Send to another backend server; the request never left this host, so the
    // budget is not concerned.
    reroute,
    // The request has not run and never will: 503 with Retry-After.
    respond_unavailable,
    // The request may have run: 502.
    respond_bad_gateway,
    // End a response that has begun without its proper end.
    abort_response,
};

attempt_action decide_action(const attempt_context& context);

// The action when a repeat is not possible after all.
attempt_action decide_action_without_retry(const attempt_context& context);

std::string_view to_string(attempt_outcome outcome);

}  // namespace bronzehub::overload

#endif
