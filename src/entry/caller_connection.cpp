#include "entry/caller_connection.hpp"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {
namespace {

// Requests that a caller sends before the response to the one before; more is
// left in the kernel.
constexpr std::size_t max_early_bytes = std::size_t{64} * 1024;

constexpr int request_timeout = 408;
constexpr int content_too_large = 413;
constexpr int headers_too_large = 431;
constexpr int bad_request = 400;

bool is_framing(std::string_view name) {
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
      parser_(message_kind::request, hooks_->limits().header_bytes,
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
                         if (const auto hook =
                                 std::exchange(self->drained_, nullptr)) {
                             hook();
                         }
                     }});
    arm_timeout(hooks_->limits().idle_timeout);
    if (!received.empty()) {
        on_bytes(received);
    }
}

void caller_connection::arm_timeout(base::duration delay) {
    disarm_timeout();
    timeout_ = loop_.run_after(delay, [self = shared_from_this()] {
        self->timeout_.reset();
        if (self->in_call_) {
            return;
        }
        if (self->parser_.where() == message_parser::state::idle) {
            self->close_idle();
        } else {
            self->reject(request_timeout);
        }
    });
}

void caller_connection::disarm_timeout() {
    if (timeout_) {
        loop_.cancel(*std::exchange(timeout_, std::nullopt));
    }
}

void caller_connection::on_bytes(std::string_view bytes) {
    if (rejected_) {
        return;
    }
    if (in_call_ || parsing_) {
        early_.append(bytes);
        if (early_.size() >= max_early_bytes) {
            channel_->pause_reading();
        }
        return;
    }
    parse(bytes);
}

void caller_connection::parse(std::string_view bytes) {
    const auto self = shared_from_this();
    parsing_ = true;
    while (!bytes.empty() && !in_call_ && !rejected_ && channel_->is_open()) {
        const bool begins = parser_.where() == message_parser::state::idle;
        if (begins) {
            const listener_limits limits = hooks_->limits();
            parser_.set_max_head_bytes(limits.header_bytes);
            arm_timeout(limits.header_timeout);
        }
        bytes.remove_prefix(parser_.feed(bytes));
        if (rejected_) {
            break;  // While its body was read.
        }
        switch (parser_.where()) {
            case message_parser::state::complete:
                // What follows is kept until the response has ended.
                early_.insert(0, bytes);
                parsing_ = false;
                on_request_complete();
                return;
            case message_parser::state::failed:
                reject(bad_request);
                break;
            case message_parser::state::head_too_large:
                reject(headers_too_large);
                break;
            default:
                break;
        }
    }
    parsing_ = false;
}

void caller_connection::on_head(const message_head& head) {
    // The body may take as long as an idle connection may last.
    arm_timeout(hooks_->limits().idle_timeout);
    if (head.expects_continue) {
        channel_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_connection::on_body(std::string_view bytes) {
    if (rejected_) {
        return;
    }
    if (request_.body.size() + bytes.size() > hooks_->limits().body_bytes) {
        reject(content_too_large);
        return;
    }
    request_.body.append(bytes);
}

void caller_connection::on_request_complete() {
    disarm_timeout();
    const message_head& head = parser_.head();
    in_call_ = true;
    keep_alive_ = parser_.keep_alive();
    head_request_ = head.method == "HEAD";
    allows_chunks_ = head.allows_chunks;
    request_.method = head.method;
    request_.target = head.target;
    request_.headers = head.headers;
    request_.arrived_at = loop_.now();
    hooks_->on_request(shared_from_this(), std::exchange(request_, {}));
}

void caller_connection::reject(int status) {
    if (std::exchange(rejected_, true)) {
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
    drained_ = nullptr;
    if (std::exchange(in_call_, false)) {
        hooks_->on_gone(*this);
    }
    hooks_->on_closed(*this);
}

std::string encode_response_head(int status, const base::http_headers& headers,
                                 std::string_view framing, bool keep_alive) {
    std::string bytes = absl::StrCat("HTTP/1.1 ", status, " ");
    bytes.append(reason_phrase(status)).append("\r\n");
    for (const auto& [name, value] : headers) {
        if (!is_framing(name)) {
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
                                keep_alive_ && !hooks_->closing());
}

void caller_connection::respond(int status, const base::http_headers& headers,
                                std::string_view body) {
    if (!in_call_) {
        return;
    }
    std::string framing = absl::StrCat("Content-Length: ", body.size(), "\r\n");
    if (head_request_ && body.empty()) {
        // The length that the answer to GET would have, if it is known.
        const auto length = base::find_header(headers, "Content-Length");
        framing = length ? absl::StrCat(
                               "Content-Length: ", std::string(*length), "\r\n")
                         : "";
    }
    std::string bytes = encode_head(status, headers, framing);
    if (!head_request_) {
        bytes.append(body);
    }
    channel_->write(bytes);
    end_call();
}

void caller_connection::begin_response(int status,
                                       const base::http_headers& headers) {
    if (in_call_) {
        channel_->send_without_delay();
        keep_alive_ = keep_alive_ && allows_chunks_;
        unsent_head_ =
            encode_head(status, headers,
                        allows_chunks_ ? "Transfer-Encoding: chunked\r\n" : "");
    }
}

void caller_connection::write_body(std::string_view bytes) {
    if (!in_call_ || bytes.empty()) {
        return;
    }
    std::string part = std::exchange(unsent_head_, {});
    if (allows_chunks_) {
        absl::StrAppend(&part, absl::Hex(bytes.size()), "\r\n");
        part.append(bytes).append("\r\n");
    } else {
        part.append(bytes);
    }
    channel_->write(part);
}

void caller_connection::finish_response() {
    if (in_call_) {
        channel_->write(std::exchange(unsent_head_, {}) +
                        (allows_chunks_ ? "0\r\n\r\n" : ""));
        end_call();
    }
}

void caller_connection::abort() {
    const auto self = shared_from_this();
    in_call_ = false;
    disarm_timeout();
    drained_ = nullptr;
    if (allows_chunks_) {
        channel_->close_after_write(unread_bytes());
    } else {
        channel_->reset();
    }
    hooks_->on_closed(*this);
}

// What a caller sends ahead of the response is left unread at the end.
byte_channel::unread_bytes caller_connection::unread_bytes() const {
    return early_.empty() ? byte_channel::unread_bytes::none
                          : byte_channel::unread_bytes::expected;
}

void caller_connection::close_idle() {
    if (in_call_ || !channel_->is_open()) {
        return;
    }
    const auto self = shared_from_this();
    disarm_timeout();
    rejected_ = true;
    channel_->close_after_write(unread_bytes());
    hooks_->on_closed(*this);
}

void caller_connection::end_call() {
    const auto self = shared_from_this();
    in_call_ = false;
    drained_ = nullptr;
    if (!keep_alive_ || hooks_->closing()) {
        rejected_ = true;
        channel_->close_after_write(unread_bytes());
        hooks_->on_closed(*this);
        return;
    }
    parser_.next();
    arm_timeout(hooks_->limits().idle_timeout);
    channel_->resume_reading();
    if (!early_.empty()) {
        // Parsed from the loop, so that requests that are answered at once do
        // not nest.
        loop_.run_after(base::duration(0), [self] {
            if (!self->in_call_ && !self->early_.empty()) {
                const std::string bytes = std::exchange(self->early_, {});
                self->parse(bytes);
            }
        });
    }
}

}  // namespace bronzehub::entry
