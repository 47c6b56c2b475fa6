// What follows from the end of one attempt at a backend server.
//
// A pure function of what is known, so that every way in which an attempt can
// end stands in one table of tests.
#ifndef BRONZEHUB_OVERLOAD_ATTEMPT_POLICY_HPP
#define BRONZEHUB_OVERLOAD_ATTEMPT_POLICY_HPP

#include <cstdint>
#include <string_view>

namespace bronzehub::overload {

enum class attempt_end : std::uint8_t {
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

struct attempt_facts {
    attempt_end end = attempt_end::broken;
    // Only for `answered`.
    int status = 0;
    // Running the request again does no harm.
    bool repeatable = false;
    // The caller has received the head of the response.
    bool response_started = false;
    // A stream can go on behind its last whole event.
    bool resumable = false;
    std::uint32_t attempts_sent = 0;
    std::uint32_t max_attempts = 1;
    bool time_left = true;
    // An attempt before this one may have run.
    bool earlier_may_have_run = false;
};

enum class attempt_action : std::uint8_t {
    deliver,
    // Send to another backend server, if the retry budget allows it.
    send_again,
    // Send to another backend server; the request never left this host, so the
    // budget is not concerned.
    send_elsewhere,
    // The request has not run and never will: 503 with Retry-After.
    refuse,
    // The request may have run: 502.
    fail,
    // End a response that has begun without its proper end.
    abort_response,
};

attempt_action decide_after_attempt(const attempt_facts& facts);

// The action when a repeat is not possible after all.
attempt_action without_repeat(const attempt_facts& facts);

std::string_view to_string(attempt_end end);

}  // namespace bronzehub::overload

#endif
