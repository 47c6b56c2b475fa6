// The response to a request that has not run and never will.
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
    // As told to the caller.
    std::chrono::milliseconds retry_after{};
};

// Why a host without processor time refuses, and when to come back: retries
// reach other hosts, which have time.
inline constexpr std::string_view host_overloaded = "host overloaded";
inline constexpr std::chrono::milliseconds overloaded_retry_after{50};

// Retry-After is spread by the request's id, so that callers that are refused
// together don't return together.
refusal make_refusal(std::string_view request_id, std::string_view cause,
                     base::duration retry_after);

}  // namespace bronzehub::entry

#endif
