// How much a backend server may send for one request.
//
// A server in trouble may send bytes without end. What passes a limit here ends
// the exchange at once; time is limited elsewhere, by the request's deadline.
#ifndef BRONZEHUB_ENTRY_RESPONSE_LIMITS_HPP
#define BRONZEHUB_ENTRY_RESPONSE_LIMITS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace bronzehub::entry {

// What the head of a response tells of its body.
struct response_outline {
    // Relayed event by event; `event_relay` has the limit.
    bool is_stream = false;
    bool has_signature = false;
    // The server did not run the request: nobody reads the body.
    bool is_rejection = false;
    // Announced length in bytes.
    std::optional<std::uint64_t> body_bytes;
};

// Whole responses beyond this size are an error of the backend server.
constexpr std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
// The body of a rejection is a short text at most.
constexpr std::size_t max_rejection_bytes = std::size_t{64} * 1024;

// The largest body that is kept until the response is whole.
std::size_t max_body_bytes(const response_outline& response);

// Why a response can't be delivered, whatever its body is; empty if it can.
std::string check_head(const response_outline& response);

std::string body_over(std::size_t limit);

}  // namespace bronzehub::entry

#endif
