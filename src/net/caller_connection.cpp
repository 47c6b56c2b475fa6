#include "net/caller_connection.hpp"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bronzehub::net {
namespace {

// Pipelined requests that are buffered until the current response has ended;
// more is not read from the socket.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;

constexpr int request_timeout_status = 408;
constexpr int content_too_large_status = 413;
constexpr int headers_too_large_status = 431;
constexpr int bad_request_status = 400;

bool is_framing_field(std::string_view name) {
    return base::is_hop_by_hop_header(name) ||
           base::equal_header_names(name, "Content-Length");
}

}  // namespace

std::string_view reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 404:
            return "Not Found";
        case 408:
            return "Request Timeout";
        case 413:
            return "Content Too Large";
        case 431:
            return "Request Header Fields Too Large";
        case 500:
            return "Internal Server Error";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Response";
    }
}

caller_connection::caller_connection(event_loop& loop,
                                     asio::ip::tcp::socket socket,
                                     std::shared_ptr<const caller_hooks> hooks)
    : loop_(loop),
      channel_(std::make_shared<byte_channel>(loop, std::move(socket))),
      hooks_(std::move(hooks)),
      parser_(message_kind::request, hooks_->limits().max_header_bytes,
              {[this](message_head& head) { on_head(head); },
               [this](std::string_view bytes) { on_body(bytes); }}) {}

void caller_connection::start(std::string_view received) {
    channel_->start({[self = shared_from_this()](std::string_view bytes) {
                         self->on_bytes(bytes);
                     },
                     [self = shared_from_this()](const asio::error_code&) {
                         self->on_channel_closed();
                     },
                     [self = shared_from_this()] {
                         if (const auto callback =
                                 std::exchange(self->on_drained_, nullptr)) {
                             callback();
                         }
                     }});
    arm_timeout(hooks_->limits().idle_timeout);
    if (!received.empty()) {
        on_bytes(received);
    }
}

void caller_connection::arm_timeout(base::duration delay) {
    disarm_timeout();
    timeout_timer_ = loop_.run_after(delay, [self = shared_from_this()] {
        self->timeout_timer_.reset();
        if (self->request_active_) {
            return;
        }
        if (self->parser_.current_state() == message_parser::state::idle) {
            self->close_if_idle();
        } else {
            self->reject(request_timeout_status);
        }
    });
}

void caller_connection::disarm_timeout() {
    if (timeout_timer_) {
        loop_.cancel(*std::exchange(timeout_timer_, std::nullopt));
    }
}

void caller_connection::on_bytes(std::string_view bytes) {
    if (input_discarded_) {
        return;
    }
    if (request_active_ || parse_in_progress_) {
        pipelined_bytes_.append(bytes);
        if (pipelined_bytes_.size() >= max_pipelined_bytes) {
            channel_->pause_reading();
        }
        return;
    }
    parse(bytes);
}

void caller_connection::parse(std::string_view bytes) {
    const auto self = shared_from_this();
    parse_in_progress_ = true;
    while (!bytes.empty() && !request_active_ && !input_discarded_ &&
           channel_->is_open()) {
        const bool is_new_request =
            parser_.current_state() == message_parser::state::idle;
        if (is_new_request) {
            const listener_limits limits = hooks_->limits();
            parser_.set_max_head_bytes(limits.max_header_bytes);
            arm_timeout(limits.header_timeout);
        }
        bytes.remove_prefix(parser_.feed(bytes));
        if (input_discarded_) {
            break;  // `on_body` rejected the request.
        }
        switch (parser_.current_state()) {
            case message_parser::state::complete:
                // The rest is parsed when the response has ended.
                pipelined_bytes_.insert(0, bytes);
                parse_in_progress_ = false;
                on_request_complete();
                return;
            case message_parser::state::failed:
                reject(bad_request_status);
                break;
            case message_parser::state::head_too_large:
                reject(headers_too_large_status);
                break;
            default:
                break;
        }
    }
    parse_in_progress_ = false;
}

void caller_connection::on_head(const message_head& head) {
    // The timeout of idle connections also limits the time for the body.
    arm_timeout(hooks_->limits().idle_timeout);
    if (head.expects_continue) {
        channel_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_connection::on_body(std::string_view bytes) {
    if (input_discarded_) {
        return;
    }
    if (request_.body.size() + bytes.size() > hooks_->limits().max_body_bytes) {
        reject(content_too_large_status);
        return;
    }
    request_.body.append(bytes);
}

void caller_connection::on_request_complete() {
    disarm_timeout();
    message_head head = parser_.take_head();
    request_active_ = true;
    keep_alive_ = parser_.keep_alive();
    is_head_request_ = head.method == "HEAD";
    supports_chunked_ = head.supports_chunked;
    request_.method = std::move(head.method);
    request_.target = std::move(head.target);
    request_.headers = std::move(head.headers);
    request_.arrived_at = loop_.now();
    hooks_->on_request(shared_from_this(), std::exchange(request_, {}));
}

void caller_connection::reject(int status) {
    if (std::exchange(input_discarded_, true)) {
        return;
    }
    disarm_timeout();
    keep_alive_ = false;
    const std::string body = "{}";
    channel_->write(
        encode_head(status, {{"Content-Type", "application/json"}},
                    absl::StrCat("Content-Length: ", body.size(), "\r\n")));
    channel_->write(body);
    channel_->close_after_write(byte_channel::unread_bytes::expected);
    hooks_->on_closed(*this);
}

void caller_connection::on_channel_closed() {
    const auto self = shared_from_this();
    disarm_timeout();
    on_drained_ = nullptr;
    if (std::exchange(request_active_, false)) {
        hooks_->on_disconnected(*this);
    }
    hooks_->on_closed(*this);
}

std::string encode_response_head(int status, const base::http_headers& headers,
                                 std::string_view framing, bool keep_alive) {
    std::string bytes = absl::StrCat("HTTP/1.1 ", status, " ");
    bytes.append(reason_phrase(status)).append("\r\n");
    for (const auto& [name, value] : headers) {
        if (!is_framing_field(name)) {
            bytes.append(name).append(": ").append(value).append("\r\n");
        }
    }
    bytes.append(framing);
    if (!keep_alive) {
        bytes.append("Connection: close\r\n");
    }
    return bytes.append("\r\n");
}

std::string caller_connection::encode_head(int status,
                                           const base::http_headers& headers,
                                           std::string_view framing) const {
    return encode_response_head(status, headers, framing,
                                keep_alive_ && !hooks_->closes_connections());
}

void caller_connection::respond(int status, const base::http_headers& headers,
                                std::string_view body) {
    if (!request_active_) {
        return;
    }
    std::string framing = absl::StrCat("Content-Length: ", body.size(), "\r\n");
    if (is_head_request_ && body.empty()) {
        // The Content-Length that the response to GET would have, if known.
        const auto length = base::find_header(headers, "Content-Length");
        framing = length ? absl::StrCat(
                               "Content-Length: ", std::string(*length), "\r\n")
                         : "";
    }
    std::string bytes = encode_head(status, headers, framing);
    if (!is_head_request_) {
        bytes.append(body);
    }
    channel_->write(bytes);
    end_request();
}

void caller_connection::begin_response(int status,
                                       const base::http_headers& headers) {
    if (request_active_) {
        channel_->set_no_delay();
        keep_alive_ = keep_alive_ && supports_chunked_;
        deferred_head_ = encode_head(
            status, headers,
            supports_chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
    }
}

void caller_connection::write_body(std::string_view bytes) {
    if (!request_active_ || bytes.empty()) {
        return;
    }
    std::string bytes_to_send = std::exchange(deferred_head_, {});
    if (supports_chunked_) {
        absl::StrAppend(&bytes_to_send, absl::Hex(bytes.size()), "\r\n");
        bytes_to_send.append(bytes).append("\r\n");
    } else {
        bytes_to_send.append(bytes);
    }
    channel_->write(bytes_to_send);
}

void caller_connection::finish_response() {
    if (request_active_) {
        channel_->write(std::exchange(deferred_head_, {}) +
                        (supports_chunked_ ? "0\r\n\r\n" : ""));
        end_request();
    }
}

void caller_connection::abort() {
    const auto self = shared_from_this();
    request_active_ = false;
    disarm_timeout();
    on_drained_ = nullptr;
    if (supports_chunked_) {
        channel_->close_after_write(unread_bytes());
    } else {
        channel_->reset();
    }
    hooks_->on_closed(*this);
}

// Pipelined requests remain unread when the connection is closed.
byte_channel::unread_bytes caller_connection::unread_bytes() const {
    return pipelined_bytes_.empty() ? byte_channel::unread_bytes::none
                                    : byte_channel::unread_bytes::expected;
}

void caller_connection::close_if_idle() {
    if (request_active_ || !channel_->is_open()) {
        return;
    }
    const auto self = shared_from_this();
    disarm_timeout();
    input_discarded_ = true;
    channel_->close_after_write(unread_bytes());
    hooks_->on_closed(*this);
}

void caller_connection::end_request() {
    const auto self = shared_from_this();
    request_active_ = false;
    on_drained_ = nullptr;
    if (!keep_alive_ || hooks_->closes_connections()) {
        input_discarded_ = true;
        channel_->close_after_write(unread_bytes());
        hooks_->on_closed(*this);
        return;
    }
    parser_.next();
    arm_timeout(hooks_->limits().idle_timeout);
    channel_->resume_reading();
    if (!pipelined_bytes_.empty()) {
        // Parsed from the loop: if each request is answered synchronously,
        // parsing here would recurse once for each request.
        loop_.run_after(base::duration(0), [self] {
            if (!self->request_active_ && !self->pipelined_bytes_.empty()) {
                const std::string bytes =
                    std::exchange(self->pipelined_bytes_, {});
                self->parse(bytes);
            }
        });
    }
}

}  // namespace bronzehub::net
