// One connection to a backend server or to the store, for one request at a
// time.
#ifndef BRONZEHUB_ENTRY_BACKEND_CONNECTION_HPP
#define BRONZEHUB_ENTRY_BACKEND_CONNECTION_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/http_header.hpp"
#include "entry/byte_channel.hpp"
#include "entry/message_parser.hpp"
#include "entry/response_limits.hpp"

namespace bronzehub::entry {

enum class exchange_result {
    // The whole response arrived.
    complete,
    // No byte of the request left this host.
    not_sent,
    // The same, as the server's host did not answer the connect in time.
    connect_timed_out,
    // Anything else; the request may have run.
    failed,
};

struct exchange_hooks {
    // Returns whether the response belongs to the request; another one is
    // skipped.
    std::function<bool(const message_head&)> on_head;
    std::function<void(std::string_view)> on_body;
    // Exactly once, unless `close` was called before.
    std::function<void(exchange_result, std::string_view reason)> on_end;
};

struct outgoing_request {
    std::string method;
    std::string target;
    base::http_headers headers;
    std::string_view body;
};

// The bytes of a request: head and body, framed by length.
std::string encode_request(const outgoing_request& request);

// Not thread-safe; owned by shared pointer.
class backend_connection
    : public std::enable_shared_from_this<backend_connection> {
public:
    backend_connection(event_loop& loop, std::string address);
    backend_connection(const backend_connection&) = delete;
    backend_connection& operator=(const backend_connection&) = delete;
    ~backend_connection() { close(); }

    // Connects if need be and sends the request. Only when `is_free`.
    void send(const outgoing_request& request, exchange_hooks hooks);

    // Ends the exchange as broken, for `on_head` and `on_body`: they are not
    // called any more, and `on_end` follows when the parser has returned.
    void fail_exchange(std::string_view reason) { failure_ = reason; }

    // Ends the connection; hooks are not called any more.
    void close();

    void pause_reading();
    void resume_reading();

    // Connected or new, with no request in progress.
    bool is_free() const { return !closed_ && !busy_; }
    bool is_closed() const { return closed_; }
    bool was_used() const { return exchanges_ > 0; }
    base::time_point idle_since() const { return idle_since_; }
    // How long the other side keeps the connection when idle; nothing when it
    // did not say.
    const std::optional<base::duration>& keep_alive_timeout() const {
        return keep_alive_timeout_;
    }
    void set_keep_alive_timeout(base::duration limit) {
        keep_alive_timeout_ = limit;
    }

private:
    void connect(std::string bytes);
    void on_connected(asio::ip::tcp::socket socket, const std::string& bytes);
    void write_request(std::string_view bytes);
    void on_bytes(std::string_view bytes);
    void on_closed(const asio::error_code& error);
    void on_head(message_head& head);
    void on_body(std::string_view bytes);
    void on_skipped(const message_head& head);
    void on_complete(bool extra_bytes);
    void end(exchange_result how, std::string_view reason);

    event_loop& loop_;
    std::string address_;
    std::shared_ptr<byte_channel> channel_;
    std::shared_ptr<asio::ip::tcp::socket> connecting_;
    message_parser parser_;
    std::shared_ptr<exchange_hooks> hooks_;
    // Why the exchange must end; empty while it may go on.
    std::string failure_;
    response_overhead overhead_;
    bool head_request_ = false;
    bool skipping_ = false;
    bool busy_ = false;
    bool closed_ = false;
    std::uint64_t written_before_ = 0;
    std::uint64_t exchanges_ = 0;
    base::time_point idle_since_{};
    std::optional<base::duration> keep_alive_timeout_;
};

}  // namespace bronzehub::entry

#endif
