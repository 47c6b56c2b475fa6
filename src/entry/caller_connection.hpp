// One caller's connection: requests in, responses out, one at a time.
#ifndef BRONZEHUB_ENTRY_CALLER_CONNECTION_HPP
#define BRONZEHUB_ENTRY_CALLER_CONNECTION_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/http_header.hpp"
#include "entry/byte_channel.hpp"
#include "entry/message_parser.hpp"

namespace bronzehub::entry {

struct caller_request {
    std::string method;
    std::string target;
    base::http_headers headers;
    std::string body;
    base::time_point arrived_at{};
};

struct listener_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

class caller_connection;

struct caller_hooks {
    // A whole request arrived. Its response ends by `respond`,
    // `finish_response` or `abort` on the connection.
    std::function<void(const std::shared_ptr<caller_connection>&,
                       caller_request)>
        on_request;
    // The caller left before its response ended; called once a request.
    std::function<void(caller_connection&)> on_gone;
    std::function<void(caller_connection&)> on_closed;
    std::function<listener_limits()> limits;
    // Whether responses ask the caller to close the connection.
    std::function<bool()> closing;
    // Decides on a new connection's first request before anything is set up for
    // it. May be empty: accepted.
    std::function<bool()> accept = nullptr;
    // Makes the response to a request that was not accepted. Nothing: by its
    // head, the request is let in after all.
    std::function<std::optional<std::string>(const message_head&)> refusal =
        nullptr;
};

// Not thread-safe; owned by shared pointer.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(event_loop& loop, asio::ip::tcp::socket socket,
                      std::shared_ptr<const caller_hooks> hooks);

    // `received` was read from the socket already.
    void start(std::string_view received = {});

    // The next request was accepted together with the connection.
    void admit() { admitted_ = true; }
    // Whether that is so; asked once.
    bool take_admission() { return std::exchange(admitted_, false); }

    // Sends a whole response. Framing fields in `headers` are left out.
    void respond(int status, const base::http_headers& headers,
                 std::string_view body);

    // The response in progress is the last one on this connection.
    void close_after_response() { keep_alive_ = false; }

    // A response whose length is not known: head, parts, end. The head is sent
    // with the first part.
    void begin_response(int status, const base::http_headers& headers);
    void write_body(std::string_view bytes);
    void finish_response();

    // Ends the connection so that the response does not look complete.
    void abort();

    // Closes the connection if it has no request.
    void close_idle();

    bool is_open() const { return channel_->is_open(); }
    bool in_call() const { return in_call_; }
    // Whether the caller has left, also when that has not been read yet.
    bool is_closed_by_peer() { return channel_->is_closed_by_peer(); }
    std::size_t unsent_bytes() const { return channel_->unsent_bytes(); }

    // Called when everything written has been sent; replaces an earlier hook.
    void on_drained(std::function<void()> hook) { drained_ = std::move(hook); }

private:
    void on_bytes(std::string_view bytes);
    void parse(std::string_view bytes);
    void on_head(const message_head& head);
    void on_body(std::string_view bytes);
    void on_request_complete();
    void on_channel_closed();
    void reject(int status);
    void end_call();
    byte_channel::unread_bytes unread_bytes() const;
    void arm_timeout(base::duration delay);
    void disarm_timeout();
    std::string encode_head(int status, const base::http_headers& headers,
                            std::string_view framing) const;

    event_loop& loop_;
    std::shared_ptr<byte_channel> channel_;
    std::shared_ptr<const caller_hooks> hooks_;
    message_parser parser_;
    // Head of a response of which nothing was sent yet.
    std::string unsent_head_;
    caller_request request_;
    std::string early_;
    std::function<void()> drained_;
    std::optional<base::timer_id> timeout_;
    bool admitted_ = false;
    bool in_call_ = false;
    bool keep_alive_ = true;
    bool head_request_ = false;
    // The caller understands chunks; else the close of the connection marks the
    // end of a response whose length is not known.
    bool allows_chunks_ = true;
    bool parsing_ = false;
    bool rejected_ = false;
};

// The reason phrase of a status.
std::string_view reason_phrase(int status);

// The head of a response, up to the empty line. `framing` has whole lines.
std::string encode_response_head(int status, const base::http_headers& headers,
                                 std::string_view framing, bool keep_alive);

}  // namespace bronzehub::entry

#endif
