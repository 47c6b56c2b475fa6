// An HTTP/1.1 client connection to a backend server or to the store. It carries
// one request at a time.
#ifndef BRONZEHUB_ENTRY_BACKEND_CONNECTION_HPP
#define BRONZEHUB_ENTRY_BACKEND_CONNECTION_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/http_header.hpp"
#include "entry/response_limits.hpp"
#include "net/byte_channel.hpp"
#include "net/message_parser.hpp"

namespace bronzehub::entry {

// How an exchange, one request and its response, ended.
enum class exchange_result {
    // The whole response arrived.
    complete,
    // No byte of the request left this host.
    not_sent,
    // No byte of the request left this host, because the TCP connection was not
    // established within the timeout.
    connect_timed_out,
    // No byte of the request left this host, because the TCP connection was
    // established after `outgoing_request::send_before`.
    expired,
    // Any other failure; the server may have executed the request.
    failed,
};

// Callbacks for the response to one request.
struct exchange_hooks {
    // Returns whether the response belongs to the request. If not, the response
    // is skipped and the next one is read.
    std::function<bool(const net::message_head&)> on_head;
    // Called for each part of the body of that response.
    std::function<void(std::string_view)> on_body;
    // Called exactly once, unless `close` is called before.
    std::function<void(exchange_result, std::string_view reason)> on_end;
};

// A request to send. `body` must be valid until `send` or `encode_request`
// returns.
struct outgoing_request {
    std::string method;
    std::string target;
    base::http_headers headers;
    std::string_view body;
    // If set, sent instead of `body` without a copy. For large bodies.
    std::shared_ptr<const std::string> shared_body = nullptr;
    // If the connection is not established by then, nothing is sent.
    base::time_point send_before = base::time_point::max();
};

// Encodes the head and body of a request, with a Content-Length field if the
// method has a body. A shared body is left out.
std::string encode_request(const outgoing_request& request);

// Not thread-safe. Held by shared pointer.
class backend_connection
    : public std::enable_shared_from_this<backend_connection> {
public:
    // With `receive_buffer_bytes` other than 0, limits what the kernel buffers
    // while the connection is not read.
    backend_connection(net::event_loop& loop, std::string address,
                       int receive_buffer_bytes = 0);
    backend_connection(const backend_connection&) = delete;
    backend_connection& operator=(const backend_connection&) = delete;
    ~backend_connection() { close(); }

    // Connects if necessary and sends the request. Requires `is_free`.
    void send(const outgoing_request& request, exchange_hooks hooks);

    // Ends the exchange as failed; may be called from `on_head` and `on_body`,
    // which are not called again. `on_end` follows when the parser has
    // returned.
    void fail_exchange(std::string_view reason) { failure_ = reason; }

    // Closes the connection; the hooks are not called again.
    void close();

    // Stop and resume reading from the socket. Reading resumes by itself when
    // the exchange is complete.
    void pause_reading();
    void resume_reading();

    // Whether the connection is open or new and has no request in progress.
    bool is_free() const { return !closed_ && !request_in_progress_; }
    bool is_closed() const { return closed_; }
    // Whether the end of the connection was the end of the last response, which
    // had neither a length nor chunks.
    bool response_ended_by_close() const { return response_ended_by_close_; }
    // Whether an exchange has completed on the connection.
    bool was_used() const { return exchange_count_ > 0; }
    // When the last complete exchange ended.
    base::time_point idle_since() const { return idle_since_; }
    // How long the server keeps the connection open when idle; empty if it has
    // not announced that.
    const std::optional<base::duration>& keep_alive_timeout() const {
        return keep_alive_timeout_;
    }
    void set_keep_alive_timeout(base::duration limit) {
        keep_alive_timeout_ = limit;
    }

private:
    using shared_bytes = std::shared_ptr<const std::string>;

    void connect(std::string bytes, shared_bytes body,
                 base::time_point send_before);
    void on_connected(asio::ip::tcp::socket socket, const std::string& bytes,
                      shared_bytes body);
    void write_request(std::string_view bytes, shared_bytes body);
    void on_bytes(std::string_view bytes);
    void on_closed(const asio::error_code& error);
    void on_head(net::message_head& head);
    void on_body(std::string_view bytes);
    void on_response_skipped(const net::message_head& head);
    void on_complete(bool extra_bytes);
    void end_exchange(exchange_result result, std::string_view reason);

    net::event_loop& loop_;
    std::string address_;
    int receive_buffer_bytes_;
    std::shared_ptr<net::byte_channel> channel_;
    std::shared_ptr<asio::ip::tcp::socket> connecting_socket_;
    net::message_parser parser_;
    std::shared_ptr<exchange_hooks> hooks_;
    // Why the exchange must end; empty as long as it may continue.
    std::string failure_;
    // Bytes received besides the body of the response, which are limited.
    response_overhead overhead_;
    bool is_head_request_ = false;
    // Whether the response being read does not belong to the request.
    bool skipping_response_ = false;
    bool request_in_progress_ = false;
    bool response_ended_by_close_ = false;
    bool closed_ = false;
    // Bytes written on the connection before the current request.
    std::uint64_t bytes_written_before_ = 0;
    std::uint64_t exchange_count_ = 0;
    base::time_point idle_since_{};
    std::optional<base::duration> keep_alive_timeout_;
};

}  // namespace bronzehub::entry

#endif
