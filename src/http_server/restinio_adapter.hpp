// The types by which RESTinio uses `connection` in place of a plain socket.
// Internal to the library; compiles slowly, so only server.cpp includes it.
#ifndef BRONZEHUB_HTTP_SERVER_RESTINIO_ADAPTER_HPP
#define BRONZEHUB_HTTP_SERVER_RESTINIO_ADAPTER_HPP

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <functional>
#include <memory>
#include <restinio/all.hpp>
#include <tuple>
#include <utility>

#include "http_server/connection.hpp"
#include "http_server/parser_error.hpp"

namespace bronzehub::http_server {

// RESTinio tells the reason of a parser error only to its logger, on the same
// thread and right before it closes the socket. The logger keeps the status
// for that close. All other messages are dropped unformatted.
class parser_error_logger {
public:
    // Returns the status of the last error on this thread and clears it.
    static int take_status() { return std::exchange(last_status(), 0); }

    template <class Builder>
    void error(Builder&& build) const {
        last_status() = parser_error_status(std::forward<Builder>(build)());
    }
    template <class Builder>
    void warn(Builder&& /*build*/) const noexcept {}
    template <class Builder>
    void info(Builder&& /*build*/) const noexcept {}
    template <class Builder>
    void trace(Builder&& /*build*/) const noexcept {}

private:
    static int& last_status() {
        thread_local int status = 0;
        return status;
    }
};

// A `connection` with the interface that RESTinio expects of a stream socket.
class connection_socket {
public:
    using executor_type = connection::strand_type;
    using lowest_layer_type = asio::ip::tcp::socket::lowest_layer_type;

    explicit connection_socket(std::shared_ptr<connection> target)
        : target_(std::move(target)) {}

    executor_type get_executor() const { return target_->strand(); }
    lowest_layer_type& lowest_layer() {
        return target_->socket().lowest_layer();
    }
    const std::shared_ptr<connection>& target() const { return target_; }

    bool is_open() const { return target_->is_open(); }

    void cancel(asio::error_code& error) {
        std::ignore = target_->socket().cancel(error);
    }

    void shutdown(asio::socket_base::shutdown_type /*what*/,
                  asio::error_code& /*error*/) {
        target_->finish(parser_error_logger::take_status());
    }

    // `shutdown` came before and decided how the connection closes.
    void close() {}

    template <class Handler>
    void async_read_some(const asio::mutable_buffer& buffer,
                         Handler&& handler) {
        target_->begin_read();
        target_->socket().async_read_some(
            buffer, wrap(std::forward<Handler>(handler),
                         [start = static_cast<const char*>(buffer.data())](
                             connection& target, asio::error_code error,
                             std::size_t size) {
                             return target.end_read(error, {start, size});
                         }));
    }

    template <class Buffers, class Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler) {
        target_->begin_write();
        target_->socket().async_write_some(
            buffers,
            wrap(std::forward<Handler>(handler),
                 [](connection& target, asio::error_code error, std::size_t) {
                     target.end_write(error);
                     return error;
                 }));
    }

private:
    // Runs `judge` before the handler, on the handler's executor.
    template <class Handler, class Judge>
    auto wrap(Handler&& handler, Judge judge) {
        auto executor =
            asio::get_associated_executor(handler, target_->strand());
        return asio::bind_executor(
            std::move(executor),
            [target = target_, judge, run = std::forward<Handler>(handler)](
                const asio::error_code& error, std::size_t size) mutable {
                run(judge(*target, error, size), size);
            });
    }

    std::shared_ptr<connection> target_;
};

// RESTinio finds the two functions below by argument-dependent lookup.

// Starts a connection on its strand; RESTinio itself would start it on the
// thread that accepts.
template <class Connection, class Start, class Failed>
void prepare_connection_and_start_read(connection_socket& socket,
                                       Connection& owner, Start start,
                                       Failed /*failed*/) {
    socket.target()->accept(owner.connection_id());
    asio::dispatch(socket.get_executor(),
                   [kept = owner.shared_from_this(),
                    run = std::move(start)]() mutable { run(); });
}

inline restinio::tls_socket_t* make_tls_socket_pointer_for_state_listener(
    connection_socket& /*socket*/) noexcept {
    return nullptr;
}

// RESTinio's limit on connections stays off: each caller that resets its
// connection before it is accepted costs it one place for good.
using restinio_traits =
    restinio::traits_t<restinio::null_timer_manager_t, parser_error_logger,
                       std::function<restinio::request_handling_status_t(
                           restinio::request_handle_t)>,
                       connection::strand_type, connection_socket>;

using connection_source = std::function<std::shared_ptr<connection>()>;

}  // namespace bronzehub::http_server

namespace restinio {

// Lets the server settings carry the function that makes connections.
template <class Settings>
class socket_type_dependent_settings_t<
    Settings, bronzehub::http_server::connection_socket> {
public:
    Settings& connections(bronzehub::http_server::connection_source make) {
        make_ = std::move(make);
        return static_cast<Settings&>(*this);
    }
    const bronzehub::http_server::connection_source& connections() const {
        return make_;
    }

protected:
    ~socket_type_dependent_settings_t() = default;

private:
    bronzehub::http_server::connection_source make_;
};

namespace impl {

// Supplies the acceptor with one connection to accept into.
template <>
class socket_supplier_t<bronzehub::http_server::connection_socket> {
protected:
    using socket_type = bronzehub::http_server::connection_socket;

    template <class Settings>
    socket_supplier_t(Settings& settings, asio::io_context& /*context*/)
        : make_(settings.connections()), next_(make_()) {}

    socket_type& socket(std::size_t /*index*/) { return next_; }
    socket_type move_socket(std::size_t /*index*/) {
        return std::exchange(next_, socket_type(make_()));
    }
    std::size_t concurrent_accept_sockets_count() const { return 1; }

private:
    bronzehub::http_server::connection_source make_;
    socket_type next_;
};

}  // namespace impl
}  // namespace restinio

#endif
