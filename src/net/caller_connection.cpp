#include "net/caller_connection.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bronzehub::net {

using memory_budget::holder_state;
using memory_budget::memory_cause;

namespace {

// Pipelined requests that are buffered until the current response has ended;
// more is not read from the socket.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;

// Memory of a connection without a request: this object, its channel and the
// state of its socket.
constexpr std::size_t connection_bytes = std::size_t{4} * 1024;
// Least capacity of a body whose length is unknown, once it needs more.
constexpr std::size_t min_body_capacity = 4096;
// Callers read a refusal only when they have sent the body. This suffices for
// 4 MiB at 1 MB/s.
constexpr std::chrono::seconds memory_refusal_linger_time{5};
// Used if there is no hook: the time after which others may have given way.
constexpr std::string_view minimal_refusal =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";

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
                                     memory_budget::memory_account& account,
                                     std::shared_ptr<const caller_hooks> hooks)
    : loop_(loop),
      channel_(std::make_shared<byte_channel>(loop, std::move(socket))),
      hooks_(std::move(hooks)),
      parser_(message_kind::request, hooks_->limits().max_header_bytes,
              {[this](message_head& head) { on_head(head); },
               [this](std::string_view bytes) { on_body(bytes); }}),
      memory_(account, [this] { give_way(); }),
      last_input_at_(loop.now()) {
    memory_.set(memory_cause::connections, connection_bytes);
}

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
                     },
                     [self = shared_from_this()](std::size_t sent) {
                         self->memory_.on_moved(sent);
                         self->update_unsent();
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
    last_input_at_ = loop_.now();
    if (request_active_ || parse_in_progress_) {
        pipelined_bytes_.append(bytes);
        if (!memory_.try_set(memory_cause::pipelined,
                             pipelined_bytes_.capacity()) ||
            pipelined_bytes_.size() >= max_pipelined_bytes) {
            channel_->pause_reading();
            memory_.set(memory_cause::pipelined, pipelined_bytes_.capacity());
            memory_.set(memory_cause::unread, caller_receive_buffer_bytes);
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
        const std::size_t consumed = parser_.feed(bytes);
        bytes.remove_prefix(consumed);
        if (input_discarded_) {
            break;  // `on_head` or `on_body` rejected the request.
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
            case message_parser::state::in_head:
            case message_parser::state::in_body:
                memory_.set_state(holder_state::receiving);
                memory_.on_moved(consumed);
                if (!has_memory_for_head()) {
                    reject_for_memory(memory_cause::headers);
                }
                break;
            default:
                break;
        }
    }
    parse_in_progress_ = false;
    if (input_discarded_) {
        parser_.next();
    }
}

bool caller_connection::has_memory_for_head() {
    return memory_.try_set(memory_cause::headers, parser_.head_memory());
}

void caller_connection::on_head(const message_head& head) {
    const listener_limits limits = hooks_->limits();
    // The timeout of idle connections also limits the time for the body.
    arm_timeout(limits.idle_timeout);
    if (head.content_length) {
        // The whole body gets room before it is read: bodies that have some of
        // their room could wait for each other. A body over the limit is
        // rejected when it exceeds it.
        reserve_body(static_cast<std::size_t>(std::min<std::uint64_t>(
            *head.content_length, limits.max_body_bytes)));
    }
    if (head.expects_continue && !input_discarded_) {
        channel_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_connection::on_body(std::string_view bytes) {
    if (input_discarded_) {
        return;
    }
    std::string& body = request_.body;
    const std::size_t size = body.size() + bytes.size();
    const std::size_t max_size = hooks_->limits().max_body_bytes;
    if (size > max_size) {
        reject(content_too_large_status);
        return;
    }
    if (size > body.capacity()) {
        reserve_body(
            std::min(std::max({size, 2 * body.capacity(), min_body_capacity}),
                     max_size));
        if (input_discarded_) {
            return;
        }
    }
    body.append(bytes);
}

void caller_connection::reserve_body(std::size_t size) {
    if (!memory_.try_set(memory_cause::bodies, size)) {
        reject_for_memory(memory_cause::bodies);
        return;
    }
    request_.body.reserve(size);
    memory_.set(memory_cause::bodies, request_.body.capacity());
}

void caller_connection::on_request_complete() {
    disarm_timeout();
    if (!has_memory_for_head()) {
        reject_for_memory(memory_cause::headers);
        return;
    }
    request_active_ = true;
    memory_.set_state(holder_state::kept);
    memory_.set(memory_cause::pipelined, pipelined_bytes_.capacity());
    keep_alive_ = parser_.keep_alive();
    message_head head = parser_.take_head();
    is_head_request_ = head.method == "HEAD";
    supports_chunked_ = head.supports_chunked;
    request_.method = std::move(head.method);
    request_.target = std::move(head.target);
    request_.headers = std::move(head.headers);
    request_.arrived_at = loop_.now();
    hooks_->on_request(shared_from_this(), std::exchange(request_, {}));
}

void caller_connection::reject(int status) {
    const std::string body = "{}";
    keep_alive_ = false;
    reject_with(
        encode_head(status, {{"Content-Type", "application/json"}},
                    absl::StrCat("Content-Length: ", body.size(), "\r\n")) +
            body,
        byte_channel::default_linger_time);
}

void caller_connection::reject_for_memory(memory_cause cause) {
    if (!input_discarded_) {
        memory_.on_denied(cause);
        reject_with(hooks_->make_memory_refusal
                        ? hooks_->make_memory_refusal(parser_.head())
                        : std::string(minimal_refusal),
                    memory_refusal_linger_time);
    }
}

void caller_connection::reject_with(std::string_view response,
                                    base::duration linger_time) {
    if (std::exchange(input_discarded_, true)) {
        return;
    }
    const auto self = shared_from_this();
    disarm_timeout();
    keep_alive_ = false;
    free_buffers();
    if (!parse_in_progress_) {
        parser_.next();  // Frees the fields.
    }
    memory_.release();
    memory_.set_state(holder_state::kept);
    channel_->write(response);
    channel_->close_after_write(byte_channel::unread_bytes::expected,
                                linger_time);
    hooks_->on_closed(*this);
}

void caller_connection::free_buffers() {
    // An assignment would keep the capacity of the strings.
    std::ignore = std::exchange(request_, {});
    std::string().swap(pipelined_bytes_);
}

// Called by the account while another connection asks for memory.
void caller_connection::give_way() {
    const auto self = shared_from_this();
    if (unsent_bytes() > 0) {
        reset();
        return;
    }
    if (request_active_ || input_discarded_) {
        return;
    }
    if (memory_.has_stalled()) {
        reject(request_timeout_status);
    } else {
        reject_for_memory(memory_cause::bodies);
    }
}

void caller_connection::reset() {
    const auto self = shared_from_this();
    channel_->reset();
    on_channel_closed();
    free_buffers();
    memory_.release();
}

void caller_connection::close_for_descriptors() {
    const auto self = shared_from_this();
    if (request_active_ || !channel_->is_open()) {
        return;
    }
    if (!input_discarded_ &&
        parser_.current_state() != message_parser::state::idle) {
        reject(request_timeout_status);
    }
    if (unsent_bytes() > 0) {
        reset();
        return;
    }
    // Without waiting until the caller has closed too.
    channel_->close();
    on_channel_closed();
}

void caller_connection::cut_off_slow_reader(base::duration limit) {
    if (unsent_bytes() > 0 && memory_.still_for() >= limit) {
        reset();
    }
}

void caller_connection::update_unsent() {
    const bool has_unsent = unsent_bytes() > 0;
    memory_.set(memory_cause::unsent, has_unsent ? channel_->send_memory() : 0);
    if (has_unsent) {
        memory_.set_state(holder_state::sending);
    } else if (request_active_) {
        memory_.set_state(holder_state::kept);
    }
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

std::string caller_connection::encode_response_start(
    int status, const base::http_headers& headers,
    std::size_t body_size) const {
    std::string framing = absl::StrCat("Content-Length: ", body_size, "\r\n");
    if (is_head_request_ && body_size == 0) {
        // The Content-Length that the response to GET would have, if known.
        const auto length = base::find_header(headers, "Content-Length");
        framing = length ? absl::StrCat(
                               "Content-Length: ", std::string(*length), "\r\n")
                         : "";
    }
    return encode_head(status, headers, framing);
}

void caller_connection::respond(int status, const base::http_headers& headers,
                                std::string_view body) {
    if (!request_active_) {
        return;
    }
    std::string bytes = encode_response_start(status, headers, body.size());
    if (!is_head_request_) {
        bytes.append(body);
    }
    channel_->write(bytes);
    end_request();
}

void caller_connection::respond_shared(
    int status, const base::http_headers& headers,
    std::shared_ptr<const std::string> body) {
    if (!request_active_) {
        return;
    }
    channel_->write(encode_response_start(status, headers, body->size()));
    if (!is_head_request_) {
        channel_->write_shared(std::move(body));
    }
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
    if (unsent_bytes() > 0) {
        update_unsent();
    }
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
    memory_.release();
    memory_.set_state(holder_state::kept);
    update_unsent();
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
        memory_.set(memory_cause::pipelined, pipelined_bytes_.capacity());
        // Parsed from the loop: if each request is answered synchronously,
        // parsing here would recurse once for each request.
        loop_.run_after(base::duration(0), [self] {
            if (!self->request_active_ && !self->pipelined_bytes_.empty()) {
                const std::string bytes =
                    std::exchange(self->pipelined_bytes_, {});
                self->memory_.set(memory_cause::pipelined, 0);
                self->parse(bytes);
            }
        });
    }
}

}  // namespace bronzehub::net
