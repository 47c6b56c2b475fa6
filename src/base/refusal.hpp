// Why a call was not answered by a backend server, and whether it ran.
//
// Every refusal carries a stable code for programs and one of three outcomes.
// `not_run` is a promise: no byte of the call can have reached a backend
// server. When that cannot be known the outcome is `unknown`.
#ifndef BRONZEHUB_BASE_REFUSAL_HPP
#define BRONZEHUB_BASE_REFUSAL_HPP

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bronzehub::base {

enum class call_outcome { not_run, run, unknown };

// The value of the Bronzehub-Outcome header.
std::string_view to_string(call_outcome outcome);

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

// The stable name that the JSON body of a refusal carries.
std::string_view to_string(refusal_code code);

// The HTTP status that goes with the code.
int http_status(refusal_code code);

// Every code, for tests and documentation.
std::span<const refusal_code> all_refusal_codes();

struct refusal {
    refusal_code code = refusal_code::internal;
    call_outcome outcome = call_outcome::unknown;
    std::string message;
    std::optional<std::chrono::seconds> retry_after;
};

}  // namespace bronzehub::base

#endif
