// One accepted TCP connection, below RESTinio. Internal to the library.
//
// RESTinio closes a connection without a word when a request is malformed, too
// large or late, and it does not look at the socket while a handler works. This
// class adds what is missing: deadlines for reads and writes, a final error
// response, an orderly close, and a watch for callers that leave.
#ifndef BRONZEHUB_HTTP_SERVER_CONNECTION_HPP
#define BRONZEHUB_HTTP_SERVER_CONNECTION_HPP

#include <asio/any_io_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace bronzehub::http_server {

class connection;

struct connection_settings {
    // Until the first byte of a request.
    base::duration idle_timeout{};
    // From the first to the last byte of a request.
    base::duration read_timeout{};
    // Without progress while bytes wait to be sent.
    base::duration write_timeout{};
    // Bytes of one request on the wire, framing included.
    std::size_t max_request_bytes = 0;
    // The complete text of an error response that closes the connection.
    std::function<std::string(int status)> rejection;
    // Registers an accepted connection. The result, which the connection holds
    // until its end, keeps alive what it needs; empty closes the connection.
    std::function<std::shared_ptr<void>(std::uint64_t id,
                                        const std::shared_ptr<connection>&)>
        accepted;
};

// The part of a response that must know when its connection is gone.
class connection_observer {
public:
    connection_observer() = default;
    connection_observer(const connection_observer&) = delete;
    connection_observer& operator=(const connection_observer&) = delete;

    // Called on the connection's strand, once for each request at most.
    virtual void connection_closed() = 0;

protected:
    ~connection_observer() = default;
};

// Every function is called on the strand, except the constructor, the
// destructor, `accept`, `strand` and `close_from_outside`.
class connection : public std::enable_shared_from_this<connection> {
public:
    using strand_type = asio::strand<asio::any_io_executor>;

    connection(std::shared_ptr<asio::io_context> context,
               std::shared_ptr<const connection_settings> settings);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    const strand_type& strand() const { return strand_; }
    asio::ip::tcp::socket& socket() { return socket_; }
    bool is_open() const { return stage_ == stage::open; }

    // RESTinio takes the accepted connection under its number.
    void accept(std::uint64_t id);

    // Around each read and write that RESTinio starts. `end_read` returns the
    // error that RESTinio is to see.
    void begin_read();
    asio::error_code end_read(asio::error_code error,
                              std::string_view received);
    void begin_write();
    void end_write(const asio::error_code& error);

    // A complete request goes to the handler: the read deadline ends and the
    // watch for a caller that leaves starts.
    void begin_handling(std::weak_ptr<connection_observer> observer);

    // RESTinio closes the connection. `parser_status` is the status for the
    // parser's error, 0 without one.
    void finish(int parser_status);

    // Sends what the kernel holds, then closes.
    void close_orderly();

    // Closes at once.
    void close();

    // Closes at once; callable from any thread.
    void close_from_outside();

private:
    enum class stage { open, closing, closed };
    enum class phase { idle, receiving, handling };

    int rejection_status(int parser_status) const;
    void reject(int status);
    void discard_input();
    void notify_observer();
    void begin_request(std::string_view received);

    void watch_caller();
    void check_caller();
    void probe_later();

    void arm_timer();
    void check_deadlines();

    // The context comes first, because the members below use its services in
    // their destructors.
    std::shared_ptr<asio::io_context> context_;
    std::shared_ptr<void> registration_;
    strand_type strand_;
    asio::ip::tcp::socket socket_;
    std::shared_ptr<const connection_settings> settings_;

    stage stage_ = stage::open;
    phase phase_ = phase::idle;
    std::size_t received_ = 0;
    bool read_expired_ = false;
    bool too_large_ = false;
    bool end_of_input_ = false;
    bool write_failed_ = false;

    asio::steady_timer timer_;
    std::optional<base::time_point> armed_for_;
    std::optional<base::time_point> read_deadline_;
    std::optional<base::time_point> write_deadline_;

    std::weak_ptr<connection_observer> observer_;
    bool watching_ = false;
    asio::steady_timer probe_timer_;

    std::string rejection_text_;
    // Allocated when needed: idle connections are many.
    std::vector<char> discard_buffer_;
    std::size_t discarded_bytes_ = 0;
};

}  // namespace bronzehub::http_server

#endif
