// Responses to requests that are refused: the request has not run and will not
// run.
#ifndef BRONZEHUB_ENTRY_REFUSAL_HPP
#define BRONZEHUB_ENTRY_REFUSAL_HPP

#include <chrono>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/http_header.hpp"

namespace bronzehub::entry {

struct refusal {
    int status = 0;
    base::http_headers headers;
    std::string body;
    // Value of the Retry-After header.
    std::chrono::milliseconds retry_after{};
};

// Cause and base Retry-After value of a refusal by a host that has no processor
// time left. The time is short, as a retry may reach a host with spare time.
inline constexpr std::string_view host_overloaded = "host overloaded";
inline constexpr std::chrono::milliseconds overloaded_retry_after{50};

// Makes a 503 response with a JSON body that holds `cause`. Retry-After is
// `retry_after` with a jitter that depends on the request id, so that callers
// that are refused at the same time don't retry at the same time.
refusal make_refusal(std::string_view request_id, std::string_view cause,
                     base::duration retry_after);

// Returns the base value of a Retry-After that the jitter does not shorten
// below `delay`.
base::duration retry_after_at_least(base::duration delay);

}  // namespace bronzehub::entry

#endif
