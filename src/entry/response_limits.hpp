// Limits on the bytes that a backend server may send for one request.
//
// A faulty server may send bytes without end. An exchange that exceeds one of
// these limits is ended at once. Its duration is limited by the request's
// deadline.
#ifndef BRONZEHUB_ENTRY_RESPONSE_LIMITS_HPP
#define BRONZEHUB_ENTRY_RESPONSE_LIMITS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace bronzehub::entry {

// Properties of a response that are known once its head was received.
struct response_properties {
    // The body is an event stream, which `event_relay` limits event by event.
    bool is_stream = false;
    // The headers prove that a backend server made the response.
    bool has_signature = false;
    // The server states that it did not run the request. The body is not used.
    bool is_rejection = false;
    std::optional<std::uint64_t> content_length;
    // The request asked to resume a stream that another server began.
    bool is_resumption = false;
};

// A larger response that is not a stream counts as a failed attempt.
constexpr std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
// The body of a rejection holds at most a short text.
constexpr std::size_t max_rejection_bytes = std::size_t{64} * 1024;

// Returns the largest body that is buffered for a response that is not a
// stream.
std::size_t max_body_bytes(const response_properties& response);

// Returns why the response can't be delivered, whatever its body turns out to
// be; empty if it can.
std::string head_error(const response_properties& response);

// Returns the error for a body of more than `limit` bytes.
std::string body_limit_error(std::size_t limit);

// Counts the bytes that arrive on a connection during one request besides the
// body of its response: heads, chunk framing and skipped responses, which are
// interim responses and late responses to other requests. Not thread-safe.
class response_overhead {
public:
    // Heads and framing: four of the largest heads that the parser accepts.
    static constexpr std::size_t max_overhead_bytes = std::size_t{256} * 1024;
    // Framing allowed for each body byte. A chunk of one byte has five bytes of
    // framing.
    static constexpr std::uint64_t max_framing_per_body_byte = 8;
    // Allows an interim response every 100 ms for ten seconds.
    static constexpr std::uint32_t max_skipped_responses = 100;

    void on_received(std::size_t bytes) { received_bytes_ += bytes; }
    void on_body(std::size_t bytes) { body_bytes_ += bytes; }
    void on_skipped_body(std::size_t bytes) { skipped_body_bytes_ += bytes; }
    void on_skipped_response() { ++skipped_responses_; }

    // Returns the limit that the exchange exceeds; empty if there is none.
    std::string limit_error() const;

private:
    // All bytes, bodies included.
    std::uint64_t received_bytes_ = 0;
    std::uint64_t body_bytes_ = 0;
    std::uint64_t skipped_body_bytes_ = 0;
    std::uint32_t skipped_responses_ = 0;
};

}  // namespace bronzehub::entry

#endif
