// The connection of a caller: an HTTP/1.1 server connection that handles one
// request at a time.
#ifndef BRONZEHUB_NET_CALLER_CONNECTION_HPP
#define BRONZEHUB_NET_CALLER_CONNECTION_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/http_header.hpp"
#include "memory_budget/memory_account.hpp"
#include "net/byte_channel.hpp"
#include "net/message_parser.hpp"

namespace bronzehub::net {

// A complete request with its body.
struct caller_request {
    std::string method;
    std::string target;
    base::http_headers headers;
    std::string body;
    base::time_point arrived_at{};
};

// Limits of what a caller may send, and for how long a connection may wait.
struct listener_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    // From the first byte of a request to the end of its head.
    std::chrono::milliseconds header_timeout{3000};
    // Between requests; also the limit for receiving a body.
    std::chrono::milliseconds idle_timeout{15000};
};

// What the kernel may buffer for a connection that is not read at the moment,
// if the memory of the host is limited. Suffices for a caller that sends at
// 10 MB/s over 5 ms.
constexpr int caller_receive_buffer_bytes = 64 * 1024;

class caller_connection;

// Callbacks and policies of a listener, which all its connections share.
struct caller_hooks {
    // Called for each complete request. The handler must end the response with
    // `respond`, `finish_response` or `abort` on the connection.
    std::function<void(const std::shared_ptr<caller_connection>&,
                       caller_request)>
        on_request;
    // Called at most once for each request, when the caller has disconnected
    // before the end of the response.
    std::function<void(caller_connection&)> on_disconnected;
    // Called when the connection is closed and handles no more requests.
    std::function<void(caller_connection&)> on_closed;
    // Returns the limits that are now in force.
    std::function<listener_limits()> limits;
    // Whether responses have "Connection: close" and end the connection.
    std::function<bool()> closes_connections;
    // Decides whether the first request of a new connection is admitted, before
    // a connection object is created. If empty, all are admitted.
    std::function<bool()> admits_first_request = nullptr;
    // Returns the encoded response to a request that was not admitted, or
    // nothing if the head of the request exempts it from the refusal.
    std::function<std::optional<std::string>(const message_head&)>
        make_refusal_response = nullptr;
    // Returns the encoded response to a request for which there is no memory.
    // The head may be incomplete. If empty, a minimal response is sent.
    std::function<std::string(const message_head&)> make_memory_refusal =
        nullptr;
};

// Not thread-safe. Held by shared pointer.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(event_loop& loop, asio::ip::tcp::socket socket,
                      memory_budget::memory_account& account,
                      std::shared_ptr<const caller_hooks> hooks);

    // Starts reading. `received` holds bytes already read from the socket.
    void start(std::string_view received = {});

    // Records that the next request was admitted together with the connection.
    void admit_next_request() { next_request_admitted_ = true; }
    // Returns whether the current request was admitted that way, and resets it.
    bool take_admission() {
        return std::exchange(next_request_admitted_, false);
    }

    // Sends a complete response. Framing fields in `headers` are ignored.
    void respond(int status, const base::http_headers& headers,
                 std::string_view body);
    // Does the same without a copy of the body.
    void respond_shared(int status, const base::http_headers& headers,
                        std::shared_ptr<const std::string> body);

    // Closes the connection after the current response.
    void close_after_response() { keep_alive_ = false; }

    // Send a response of unknown length in parts. The head is sent together
    // with the first part of the body.
    void begin_response(int status, const base::http_headers& headers);
    void write_body(std::string_view bytes);
    void finish_response();

    // Ends the connection in a way that the caller can tell from the end of a
    // complete response.
    void abort();

    // Closes the connection if no request is active.
    void close_if_idle();

    // Closes the connection at once if no request is active. An incomplete
    // request is answered as timed out.
    void close_for_descriptors();
    // Resets the connection if the caller has not read its response for as long
    // as `limit`.
    void cut_off_slow_reader(base::duration limit);

    // What the connection holds, to which the handler of the request adds.
    memory_budget::memory_holder& memory() { return memory_; }
    // When bytes were last received, or when the connection was accepted.
    base::time_point last_input_at() const { return last_input_at_; }

    bool is_open() const { return channel_->is_open(); }
    // Whether a complete request has arrived whose response has not ended.
    bool has_active_request() const { return request_active_; }
    // Whether the caller has closed the connection, even if no read has
    // reported that yet.
    bool is_closed_by_peer() { return channel_->is_closed_by_peer(); }
    // Response bytes that the kernel has not accepted yet. Zero after the
    // channel was closed.
    std::size_t unsent_bytes() const {
        return channel_->is_open() ? channel_->unsent_bytes() : 0;
    }
    // Resets the connection if response bytes are unsent, so that the caller
    // does not take the end of the connection for the end of the response.
    void discard_unsent() {
        if (unsent_bytes() > 0) {
            channel_->reset();
        }
    }

    // Sets the function called once when the kernel has accepted all bytes
    // written. Replaces an earlier one.
    void on_drained(std::function<void()> hook) {
        on_drained_ = std::move(hook);
    }

private:
    void on_bytes(std::string_view bytes);
    void parse(std::string_view bytes);
    void on_head(const message_head& head);
    void on_body(std::string_view bytes);
    void on_request_complete();
    void on_channel_closed();
    void reject(int status);
    void reject_for_memory(memory_budget::memory_cause cause);
    // Sends a response, frees the request and closes the connection.
    void reject_with(std::string_view response, base::duration linger_time);
    // Whether there is memory for the fields that have arrived.
    bool has_memory_for_head();
    // Reserves memory for a body of `size` bytes. Rejects the request if there
    // is none.
    void reserve_body(std::size_t size);
    // Releases the memory for another connection.
    void give_way();
    void free_buffers();
    // Closes the connection at once, without the rest of a response.
    void reset();
    // Records the bytes that the kernel has not accepted.
    void update_unsent();
    // Encodes the head of a complete response.
    std::string encode_response_start(int status,
                                      const base::http_headers& headers,
                                      std::size_t body_size) const;
    void end_request();
    byte_channel::unread_bytes unread_bytes() const;
    void arm_timeout(base::duration delay);
    void disarm_timeout();
    std::string encode_head(int status, const base::http_headers& headers,
                            std::string_view framing) const;

    event_loop& loop_;
    std::shared_ptr<byte_channel> channel_;
    std::shared_ptr<const caller_hooks> hooks_;
    message_parser parser_;
    // Encoded head of a response in parts, until the first part is written.
    std::string deferred_head_;
    caller_request request_;
    // Bytes received before the end of the current response.
    std::string pipelined_bytes_;
    memory_budget::memory_holder memory_;
    base::time_point last_input_at_;
    std::function<void()> on_drained_;
    // Runs when a request or the rest of one has not arrived in time.
    std::optional<base::timer_id> timeout_timer_;
    bool next_request_admitted_ = false;
    bool request_active_ = false;
    bool keep_alive_ = true;
    bool is_head_request_ = false;
    // Whether the caller supports chunked transfer coding. If not, the end of
    // the connection delimits a response of unknown length.
    bool supports_chunked_ = true;
    bool parse_in_progress_ = false;
    // Whether further input is ignored, because the connection is being closed.
    bool input_discarded_ = false;
};

// Returns the HTTP reason phrase of a status code.
std::string_view reason_phrase(int status);

// Encodes the head of a response, including the empty line. `framing` holds
// complete header lines, such as Content-Length.
std::string encode_response_head(int status, const base::http_headers& headers,
                                 std::string_view framing, bool keep_alive);

}  // namespace bronzehub::net

#endif
