// Decides what to do with a request after an attempt at a backend server ended.
//
// The decision is a pure function of an `attempt_context`, so that one table of
// tests covers every way in which an attempt can end.
#ifndef BRONZEHUB_OVERLOAD_ATTEMPT_POLICY_HPP
#define BRONZEHUB_OVERLOAD_ATTEMPT_POLICY_HPP

#include <cstdint>
#include <string_view>

namespace bronzehub::overload {

// How one attempt at a backend server ended.
enum class attempt_outcome : std::uint8_t {
    // The backend server sent a complete response that is not an event stream
    // and carries its signature.
    answered,
    // The backend server sent an event stream up to its regular end.
    stream_ended,
    // No byte of the request left this host.
    not_sent,
    // The backend server states that it did not execute the request.
    rejected,
    // The connection failed or the data received is not a response to this
    // request. The request may have been executed.
    broken,
};

struct attempt_context {
    attempt_outcome outcome = attempt_outcome::broken;
    // HTTP status of the response; set for `answered` only.
    int status = 0;
    // Executing the request twice has the same effect as executing it once.
    bool idempotent = false;
    // The head of the response has been sent to the caller.
    bool response_started = false;
    // Another backend server can continue the stream after the last complete
    // event.
    bool resumable = false;
    std::uint32_t attempts_sent = 0;
    std::uint32_t max_attempts = 1;
    // The deadline of the request has not passed.
    bool within_deadline = true;
};

enum class attempt_action : std::uint8_t {
    // Pass the response to the caller, or complete the stream.
    deliver,
    // Send the request to another backend server if the retry budget allows.
    retry,
    // Send the request to another backend server without charging the retry
    // budget, because it never left this host.
    reroute,
    // Respond 503 with Retry-After: the request was not executed and will not
    // be.
    respond_unavailable,
    // Respond 502: the request may have been executed. Also replaces a status
    // that would tell the caller otherwise.
    respond_bad_gateway,
    // Abort a response that was partly sent, so that the caller does not take
    // it for complete.
    abort_response,
};

// Whether the response of the attempt is a result for the caller. A server
// error is not, nor is a refusal without the server's statement that it did not
// execute the request.
bool is_usable(attempt_outcome outcome, int status);

attempt_action decide_action(const attempt_context& context);

// The action if the request can't be sent again, for example because the retry
// budget is exhausted.
attempt_action decide_action_without_retry(const attempt_context& context);

std::string_view to_string(attempt_outcome outcome);

}  // namespace bronzehub::overload

#endif
