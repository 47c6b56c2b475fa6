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
    // It is to go on with a stream that another server began.
    bool resumes = false;
};

// Whole responses beyond this size are an error of the backend server.
constexpr std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
// The body of a rejection is a short text at most.
constexpr std::size_t max_rejection_bytes = std::size_t{64} * 1024;

// The largest body that is kept until the response is whole.
std::size_t max_body_bytes(const response_outline& response);

// Why a response can't be delivered, whatever its body is; empty if it can.
std::string head_error(const response_outline& response);

std::string body_limit_error(std::size_t limit);

// Counts what comes on a connection for one request besides the body of its
// response: heads, framing, interim responses and late responses to other
// requests.
// Not thread-safe.
class response_overhead {
public:
    // Heads and framing: four of the largest heads that the parser takes.
    static constexpr std::size_t max_bytes = std::size_t{256} * 1024;
    // A chunk of one byte has five bytes of framing.
    static constexpr std::uint64_t bytes_per_body_byte = 8;
    // One interim response in each 100 ms for ten seconds.
    static constexpr std::uint32_t max_skipped = 100;

    void on_received(std::size_t bytes) { received_ += bytes; }
    void on_body(std::size_t bytes) { body_ += bytes; }
    void on_skipped_body(std::size_t bytes) { skipped_body_ += bytes; }
    void on_skipped_response() { ++skipped_; }

    // Why the exchange must end; empty if it may go on.
    std::string limit_error() const;

private:
    std::uint64_t received_ = 0;
    std::uint64_t body_ = 0;
    std::uint64_t skipped_body_ = 0;
    std::uint32_t skipped_ = 0;
};

}  // namespace bronzehub::entry

#endif
