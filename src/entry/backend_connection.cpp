#include "entry/backend_connection.hpp"

#include <netinet/tcp.h>

#include <asio/ip/address.hpp>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/ip_endpoint.hpp"

namespace bronzehub::entry {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

// Far above a round trip between failure domains, and below the 1 s after which
// TCP retransmits a lost SYN.
constexpr milliseconds connect_timeout{400};
// TCP_USER_TIMEOUT: a server that leaves sent bytes unacknowledged for this
// long is unreachable.
constexpr int unacknowledged_timeout_ms = 1500;
// TCP keep-alive: time without traffic before the first probe, and between
// probes. The timeout above closes the connection if they are not acknowledged.
constexpr int keep_alive_probe_after_s = 1;
constexpr int keep_alive_probe_interval_s = 1;
// A larger response head is an error of the server.
constexpr std::size_t max_response_head_bytes = std::size_t{64} * 1024;

void set_failure_detection(tcp::socket& socket) {
    asio::error_code ignored;  // Without keep-alive, failures show later.
    std::ignore =
        socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    const auto set = [handle](int name, int value) {
        setsockopt(handle, IPPROTO_TCP, name, &value, sizeof(value));
    };
    set(TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
    set(TCP_KEEPIDLE, keep_alive_probe_after_s);
    set(TCP_KEEPINTVL, keep_alive_probe_interval_s);
}

bool parse_endpoint(std::string_view text, tcp::endpoint& result) {
    const auto parsed = base::parse_ip_endpoint(text);
    asio::error_code error;
    const auto address =
        asio::ip::make_address(parsed ? parsed->address : "", error);
    if (error) {
        return false;
    }
    result = tcp::endpoint(address, parsed->port);
    return true;
}

}  // namespace

std::string encode_request(const outgoing_request& request) {
    std::string bytes;
    const std::size_t body_bytes =
        request.shared_body ? request.shared_body->size() : request.body.size();
    bytes.reserve(512 + request.body.size());
    bytes.append(request.method).append(" ").append(request.target);
    bytes.append(" HTTP/1.1\r\n");
    for (const auto& [name, value] : request.headers) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    const bool has_body = body_bytes > 0 || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
    if (has_body) {
        absl::StrAppend(&bytes, "Content-Length: ", body_bytes, "\r\n");
    }
    bytes.append("\r\n");
    if (!request.shared_body) {
        bytes.append(request.body);
    }
    return bytes;
}

backend_connection::backend_connection(net::event_loop& loop,
                                       std::string address,
                                       int receive_buffer_bytes)
    : loop_(loop),
      address_(std::move(address)),
      receive_buffer_bytes_(receive_buffer_bytes),
      parser_(net::message_kind::response, max_response_head_bytes,
              {[this](net::message_head& head) { on_head(head); },
               [this](std::string_view bytes) { on_body(bytes); }}) {}

void backend_connection::send(const outgoing_request& request,
                              exchange_hooks hooks) {
    request_in_progress_ = true;
    hooks_ = std::make_shared<exchange_hooks>(std::move(hooks));
    is_head_request_ = request.method == "HEAD";
    skipping_response_ = false;
    failure_.clear();
    overhead_ = {};
    parser_.next(is_head_request_);
    std::string bytes = encode_request(request);
    if (channel_) {
        write_request(bytes, request.shared_body);
    } else {
        connect(std::move(bytes), request.shared_body, request.send_before);
    }
}

void backend_connection::connect(std::string bytes, shared_bytes body,
                                 base::time_point send_before) {
    tcp::endpoint endpoint;
    if (!parse_endpoint(address_, endpoint)) {
        loop_.run_after(base::duration(0), [self = shared_from_this()] {
            self->end_exchange(exchange_result::not_sent, "malformed address");
        });
        return;
    }
    auto socket = std::make_shared<tcp::socket>(loop_.context());
    connecting_socket_ = socket;
    const auto timer =
        loop_.run_after(connect_timeout, [self = shared_from_this(), socket] {
            if (self->connecting_socket_ == socket) {
                self->end_exchange(exchange_result::connect_timed_out,
                                   "connect timed out");
            }
        });
    asio::error_code error;
    std::ignore = socket->open(endpoint.protocol(), error);
    if (!error) {
        set_failure_detection(*socket);
        if (receive_buffer_bytes_ > 0) {
            asio::error_code ignored;  // The kernel chooses a size then.
            std::ignore = socket->set_option(
                asio::socket_base::receive_buffer_size(receive_buffer_bytes_),
                ignored);
        }
    }
    socket->async_connect(endpoint, [self = shared_from_this(), socket, timer,
                                     send_before, bytes = std::move(bytes),
                                     body = std::move(body)](
                                        const asio::error_code& failed) {
        self->loop_.cancel(timer);
        if (self->connecting_socket_ != socket) {
            return;
        }
        if (failed) {
            self->end_exchange(exchange_result::not_sent, failed.message());
            return;
        }
        if (self->loop_.now() > send_before) {
            self->end_exchange(exchange_result::expired, "connected too late");
            return;
        }
        self->connecting_socket_.reset();
        self->on_connected(std::move(*socket), bytes, body);
    });
}

void backend_connection::on_connected(tcp::socket socket,
                                      const std::string& bytes,
                                      shared_bytes body) {
    channel_ = std::make_shared<net::byte_channel>(loop_, std::move(socket));
    channel_->start(
        {[this](std::string_view received) { on_bytes(received); },
         [this](const asio::error_code& error) { on_closed(error); }});
    write_request(bytes, std::move(body));
}

void backend_connection::write_request(std::string_view bytes,
                                       shared_bytes body) {
    bytes_written_before_ = channel_->bytes_written();
    channel_->write(bytes);
    if (body) {
        channel_->write_shared(std::move(body));
    }
}

void backend_connection::on_bytes(std::string_view bytes) {
    const auto self = shared_from_this();
    while (!bytes.empty() && !closed_) {
        if (!request_in_progress_) {
            // Unsolicited bytes must not be taken for the next response.
            close();
            return;
        }
        const std::size_t consumed = parser_.feed(bytes);
        bytes.remove_prefix(consumed);
        overhead_.on_received(consumed);
        if (failure_.empty()) {
            failure_ = overhead_.limit_error();
        }
        if (!failure_.empty()) {
            end_exchange(exchange_result::failed, failure_);
            return;
        }
        switch (parser_.current_state()) {
            case net::message_parser::state::complete:
                on_complete(!bytes.empty());
                break;
            case net::message_parser::state::failed:
            case net::message_parser::state::head_too_large:
                end_exchange(exchange_result::failed,
                             absl::StrCat("not a response: ",
                                          std::string(parser_.error())));
                return;
            default:
                break;
        }
    }
}

void backend_connection::on_head(net::message_head& head) {
    constexpr int first_final_status = 200;
    skipping_response_ = head.status < first_final_status;
    if (!skipping_response_ && hooks_) {
        const auto hooks = hooks_;
        skipping_response_ = !hooks->on_head(head);
    }
    if (skipping_response_) {
        on_response_skipped(head);
    }
}

void backend_connection::on_response_skipped(const net::message_head& head) {
    overhead_.on_skipped_response();
    // In the response to a HEAD request, the framing fields do not tell whether
    // the connection ends with it.
    if (!head.keep_alive && !is_head_request_ && failure_.empty()) {
        fail_exchange("foreign response ends the connection");
    }
}

void backend_connection::on_body(std::string_view bytes) {
    if (skipping_response_) {
        overhead_.on_skipped_body(bytes.size());
        return;
    }
    if (!hooks_ || !failure_.empty()) {
        return;
    }
    overhead_.on_body(bytes.size());
    const auto hooks = hooks_;
    hooks->on_body(bytes);
}

void backend_connection::on_complete(bool extra_bytes) {
    if (closed_) {
        return;
    }
    const bool keep_alive = parser_.keep_alive();
    if (skipping_response_) {
        if (!keep_alive) {
            end_exchange(exchange_result::failed,
                         "closed after a foreign response");
            return;
        }
        skipping_response_ = false;
        parser_.next(is_head_request_);
        return;
    }
    // The server would read unsent bytes of this request as the start of the
    // next one.
    const bool reusable =
        keep_alive && !extra_bytes && channel_->unsent_bytes() == 0;
    ++exchange_count_;
    idle_since_ = loop_.now();
    request_in_progress_ = false;
    const auto hooks = std::exchange(hooks_, nullptr);
    if (!reusable) {
        close();
    } else {
        // Reading may have been paused for this response only. On an idle
        // connection, its end and unsolicited bytes must be detected at once.
        channel_->resume_reading();
    }
    hooks->on_end(exchange_result::complete, "");
}

void backend_connection::on_closed(const asio::error_code& error) {
    const auto self = shared_from_this();
    if (!request_in_progress_) {
        close();
        return;
    }
    if (error == asio::error::eof) {
        parser_.finish();
        if (parser_.current_state() == net::message_parser::state::complete &&
            !skipping_response_) {
            response_ended_by_close_ = true;
            on_complete(false);
            return;
        }
    }
    const bool unsent =
        channel_ && channel_->bytes_written() == bytes_written_before_ &&
        parser_.current_state() == net::message_parser::state::idle;
    end_exchange(unsent ? exchange_result::not_sent : exchange_result::failed,
                 error.message());
}

void backend_connection::end_exchange(exchange_result result,
                                      std::string_view reason) {
    const auto self = shared_from_this();
    const auto hooks = std::exchange(hooks_, nullptr);
    const std::string text(reason);
    close();
    if (hooks) {
        hooks->on_end(result, text);
    }
}

void backend_connection::close() {
    closed_ = true;
    request_in_progress_ = false;
    hooks_.reset();
    if (const auto socket = std::exchange(connecting_socket_, nullptr)) {
        asio::error_code ignored;  // The socket is given up in any case.
        std::ignore = socket->close(ignored);
    }
    if (channel_) {
        channel_->close();
    }
}

void backend_connection::pause_reading() {
    if (channel_) {
        channel_->pause_reading();
    }
}

void backend_connection::resume_reading() {
    if (channel_) {
        channel_->resume_reading();
    }
}

}  // namespace bronzehub::entry
