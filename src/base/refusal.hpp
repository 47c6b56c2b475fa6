// Refusals: responses that bronzehub itself gives to a call when it has no
// response of a backend server.
//
// Every refusal carries a stable code for programs and the outcome of the call,
// which tells whether it was run. `not_run` guarantees that no byte of the call
// reached a backend server. When that is uncertain the outcome is `unknown`.
#ifndef BRONZEHUB_BASE_REFUSAL_HPP
#define BRONZEHUB_BASE_REFUSAL_HPP

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bronzehub::base {

// Whether a backend server ran a call.
enum class call_outcome { not_run, run, unknown };

// The value of the Bronzehub-Outcome header.
std::string_view to_string(call_outcome outcome);

// The reason of a refusal.
enum class refusal_code {
    bad_request,
    unauthenticated,
    forbidden,
    unknown_service,
    method_not_allowed,
    request_too_large,
    request_timeout,
    backlog_full,
    deadline_unreachable,
    deadline_exceeded,
    no_backend_server,
    draining,
    configuration_missing,
    claim_unavailable,
    claim_in_progress,
    claim_mismatch,
    claim_outcome_unknown,
    backend_failed,
    backend_answer_too_large,
    cancelled,
    internal,
};

// The stable name of the code in the JSON body of a refusal.
std::string_view to_string(refusal_code code);

// The HTTP status of a refusal with this code.
int http_status(refusal_code code);

// All codes, for tests and documentation.
std::span<const refusal_code> all_refusal_codes();

struct refusal {
    refusal_code code = refusal_code::internal;
    call_outcome outcome = call_outcome::unknown;
    std::string message;
    std::optional<std::chrono::seconds> retry_after;
};

}  // namespace bronzehub::base

#endif
