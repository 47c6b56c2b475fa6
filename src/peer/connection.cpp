#include "peer/connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "protocol/codec.hpp"

namespace bronzehub::peer {
namespace {

using asio::ip::tcp;

// Bytes handed to the socket at once.
constexpr std::size_t write_bytes = 65536;

constexpr const char* hello_path = "/peer/hello";
constexpr const char* messages_path = "/peer/messages";
constexpr const char* version_header = "bronzehub-protocol";
constexpr const char* host_header = "bronzehub-host";
constexpr const char* nonce_header = "bronzehub-nonce";
constexpr const char* proof_header = "bronzehub-proof";
constexpr const char* error_header = "bronzehub-error";

enum http_status : int {
    ok = 200,
    bad_request = 400,
    unauthorised = 401,
    misdirected = 421,
    version_not_supported = 505,
};

std::string find(const http2_headers& headers, std::string_view name) {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

http2_headers request_head(const char* method, const char* path) {
    return {{":method", method},
            {":path", path},
            {":scheme", "http"},
            {":authority", "bronzehub"}};
}

http2_headers response_head(int status) {
    return {{":status", std::to_string(status)}};
}

// The status that a refusal by the acceptor has at the dialler.
absl::Status read_refusal(const http2_headers& headers) {
    const std::string status = find(headers, ":status");
    const std::string text =
        absl::StrCat("refused by the peer: ", find(headers, error_header));
    if (status == std::to_string(unauthorised)) {
        return absl::PermissionDeniedError(text);
    }
    if (status == std::to_string(version_not_supported)) {
        return absl::UnimplementedError(text);
    }
    if (status == std::to_string(misdirected)) {
        return absl::FailedPreconditionError(text);
    }
    return absl::InvalidArgumentError(text);
}

absl::Status lost(const asio::error_code& error) {
    return absl::UnavailableError(
        absl::StrCat("peer connection: ", error.message()));
}

}  // namespace

connection::connection(tcp::socket socket, side role,
                       base::host_id expected_host,
                       std::shared_ptr<const connection_options> options,
                       connection_hooks hooks, std::shared_ptr<counters> counts)
    : socket_(std::move(socket)),
      handshake_timer_(socket_.get_executor()),
      role_(role),
      expected_host_(std::move(expected_host)),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      counts_(std::move(counts)),
      session_(role, {[this](stream_id stream, const http2_headers& headers) {
                          on_headers(stream, headers);
                      },
                      [this](stream_id stream, std::span<const char> bytes) {
                          on_data(stream, bytes);
                      },
                      [this](stream_id stream) { on_end(stream); }}),
      reader_(options_->max_message_bytes,
              [this](std::span<const char> bytes) { return on_frame(bytes); }) {
}

void connection::dial(const tcp::endpoint& address) {
    remote_address_ =
        absl::StrCat(address.address().to_string(), ":", address.port());
    arm_handshake_timer();
    socket_.async_connect(
        address, [self = shared_from_this()](const asio::error_code& error) {
            if (error) {
                self->close(lost(error));
                return;
            }
            self->send_hello();
            self->start();
        });
}

void connection::accept() {
    asio::error_code ignored;
    const tcp::endpoint remote = socket_.remote_endpoint(ignored);
    remote_address_ =
        absl::StrCat(remote.address().to_string(), ":", remote.port());
    arm_handshake_timer();
    start();
}

void connection::arm_handshake_timer() {
    handshake_timer_.expires_after(options_->handshake_timeout);
    handshake_timer_.async_wait(
        [weak = weak_from_this()](const asio::error_code& error) {
            const connection_ptr self = weak.lock();
            if (!error && self) {
                self->close(self->refusal_.value_or(absl::DeadlineExceededError(
                    "peer connection: handshake timed out")));
            }
        });
}

void connection::start() {
    if (!closed_) {
        set_socket_options();
        flush();
        read();
    }
}

void connection::set_socket_options() {
    asio::error_code ignored;
    std::ignore = socket_.set_option(tcp::no_delay(true), ignored);
    const auto timeout =
        static_cast<unsigned int>(options_->unacknowledged_timeout.count());
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                 &timeout, sizeof(timeout));
}

void connection::read() {
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](const asio::error_code& error,
                                    std::size_t size) {
            if (error) {
                self->close(self->refusal_.value_or(lost(error)));
                return;
            }
            self->receive(std::span(self->input_).first(size));
            if (!self->closed_) {
                self->read();
            }
        });
}

void connection::receive(std::span<const char> bytes) {
    counts_->socket_bytes_received.add(bytes.size());
    receiving_ = true;
    const absl::Status status = session_.receive(bytes);
    receiving_ = false;
    if (!status.ok()) {
        close(status);
    }
    flush();
}

void connection::flush() {
    // The HTTP/2 library must not produce output while it handles input;
    // `receive` flushes at its end.
    if (closed_ || writing_ || receiving_) {
        return;
    }
    if (send_stream_ != 0) {
        session_.resume(send_stream_);
    }
    output_.clear();
    const absl::Status status = session_.produce(output_, write_bytes);
    if (!status.ok()) {
        close(status);
        return;
    }
    if (output_.empty()) {
        return;
    }
    writing_ = true;
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](const asio::error_code& error,
                                                  std::size_t size) {
                          self->writing_ = false;
                          self->counts_->socket_bytes_sent.add(size);
                          if (error) {
                              self->close(lost(error));
                          }
                          self->flush();
                      });
}

void connection::attach(std::shared_ptr<send_queue> queue) {
    queue_ = std::move(queue);
    flush();
}

void connection::retire() {
    retiring_ = true;
    queue_.reset();
    flush();
}

void connection::close(const absl::Status& reason) {
    if (std::exchange(closed_, true)) {
        return;
    }
    count_refusal(reason);
    handshake_timer_.cancel();
    asio::error_code ignored;
    std::ignore = socket_.close(ignored);
    asio::post(socket_.get_executor(), [self = shared_from_this(), reason] {
        self->hooks_.on_closed(self, reason);
        // The hooks may refer to the owner of this connection.
        self->hooks_ = {};
    });
}

void connection::count_refusal(const absl::Status& reason) {
    if (reason.code() == absl::StatusCode::kPermissionDenied) {
        counts_->authentication_failures.add();
    } else if (reason.code() == absl::StatusCode::kUnimplemented) {
        counts_->version_refusals.add();
    } else if (reason.code() == absl::StatusCode::kResourceExhausted) {
        counts_->refused_messages.add();
    }
}

void connection::on_headers(stream_id stream, const http2_headers& headers) {
    if (closed_ || refusal_) {
        return;
    }
    if (role_ == side::acceptor) {
        const std::string path = find(headers, ":path");
        if (path == hello_path) {
            answer_hello(stream, headers);
        } else if (path == messages_path &&
                   find(headers, ":method") == "POST") {
            check_dialler(stream, headers);
        } else if (path == messages_path && authenticated_) {
            open_download(stream);
        } else {
            refuse(stream, bad_request,
                   absl::InvalidArgumentError("peer: unexpected request"));
        }
    } else if (find(headers, ":status") != std::to_string(ok)) {
        close(read_refusal(headers));
    } else if (stream == hello_stream_) {
        read_hello(headers);
    } else if (stream == send_stream_) {
        check_acceptor(headers);
    }
}

void connection::send_hello() {
    both_.dialler_host = options_->host;
    both_.dialler_nonce = make_nonce();
    http2_headers head = request_head("POST", hello_path);
    head[version_header] = version_text(options_->major_version);
    head[host_header] = both_.dialler_host;
    head[nonce_header] = both_.dialler_nonce;
    hello_stream_ = session_.request(head);
}

void connection::answer_hello(stream_id stream, const http2_headers& headers) {
    const absl::Status version =
        check_version(options_->major_version, find(headers, version_header));
    peer_host_ = find(headers, host_header);
    if (!version.ok()) {
        refuse(stream, version_not_supported, version);
        return;
    }
    if (peer_host_.empty() || peer_host_ == options_->host) {
        refuse(stream, misdirected,
               absl::FailedPreconditionError(
                   "peer: the dialling host has no name or that of this host"));
        return;
    }
    both_ = {peer_host_, options_->host, find(headers, nonce_header),
             make_nonce()};
    http2_headers head = response_head(ok);
    head[version_header] = version_text(options_->major_version);
    head[host_header] = both_.acceptor_host;
    head[nonce_header] = both_.acceptor_nonce;
    session_.respond(stream, head);
}

void connection::read_hello(const http2_headers& headers) {
    const absl::Status version =
        check_version(options_->major_version, find(headers, version_header));
    peer_host_ = find(headers, host_header);
    if (!version.ok()) {
        close(version);
        return;
    }
    if (!expected_host_.empty() && peer_host_ != expected_host_) {
        close(absl::FailedPreconditionError(
            absl::StrCat("peer at ", remote_address_, ": found host ",
                         peer_host_, ", expected ", expected_host_)));
        return;
    }
    both_.acceptor_host = peer_host_;
    both_.acceptor_nonce = find(headers, nonce_header);
    http2_headers head = request_head("POST", messages_path);
    head[proof_header] = make_proof(options_->shared_key, side::dialler, both_);
    send_stream_ = session_.request(
        head, [this](std::span<char> buffer) { return fill(buffer); });
}

void connection::check_dialler(stream_id stream, const http2_headers& headers) {
    const absl::Status proof = check_proof(options_->shared_key, side::dialler,
                                           both_, find(headers, proof_header));
    if (!proof.ok()) {
        refuse(stream, unauthorised, proof);
        return;
    }
    authenticated_ = true;
    receive_stream_ = stream;
    http2_headers head = response_head(ok);
    head[proof_header] =
        make_proof(options_->shared_key, side::acceptor, both_);
    session_.respond(stream, head);
}

void connection::check_acceptor(const http2_headers& headers) {
    const absl::Status proof = check_proof(options_->shared_key, side::acceptor,
                                           both_, find(headers, proof_header));
    if (!proof.ok()) {
        close(proof);
        return;
    }
    receive_stream_ = session_.request(request_head("GET", messages_path));
    become_ready();
}

void connection::open_download(stream_id stream) {
    send_stream_ = stream;
    session_.respond(stream, response_head(ok),
                     [this](std::span<char> buffer) { return fill(buffer); });
    become_ready();
}

void connection::become_ready() {
    ready_ = true;
    handshake_timer_.cancel();
    hooks_.on_ready(shared_from_this());
}

void connection::refuse(stream_id stream, int status,
                        const absl::Status& reason) {
    http2_headers head = response_head(status);
    head[error_header] = std::string(reason.message());
    session_.respond(stream, head);
    // The dialler closes once it has read the response; closing here could
    // discard it. The handshake timer bounds the wait.
    refusal_ = reason;
}

void connection::on_data(stream_id stream, std::span<const char> bytes) {
    if (closed_ || refusal_) {
        return;
    }
    const bool may_send = role_ == side::dialler ? ready_ : authenticated_;
    if (!may_send || stream != receive_stream_) {
        close(absl::FailedPreconditionError(
            "peer connection: data before authentication"));
        return;
    }
    const absl::Status status = reader_.read(bytes);
    if (!status.ok()) {
        close(status);
    }
}

void connection::on_end(stream_id stream) {
    if (closed_ || stream != receive_stream_) {
        return;
    }
    if (role_ == side::acceptor && !retiring_) {
        retiring_ = true;
        queue_.reset();
        hooks_.on_retired(shared_from_this());
    } else if (role_ == side::dialler) {
        close(absl::CancelledError("peer connection: retired"));
    }
}

absl::Status connection::on_frame(std::span<const char> bytes) {
    absl::StatusOr<protocol::message> message = protocol::decode(bytes);
    // A malformed message or one of a type that a later release introduced is
    // dropped; the frames that follow it are intact.
    if (!message.ok() || message->from.host != peer_host_) {
        counts_->refused_messages.add();
        return absl::OkStatus();
    }
    message_counter& count = counts_->received[message->content.index()];
    count.messages.add();
    count.bytes.add(bytes.size() + length_prefix_bytes);
    hooks_.on_message(shared_from_this(), *std::move(message));
    return absl::OkStatus();
}

body_part connection::fill(std::span<char> buffer) {
    std::size_t filled = 0;
    while (filled < buffer.size() && ready_) {
        if (!sending_) {
            std::optional<outgoing_message> next =
                queue_ ? queue_->pop() : std::nullopt;
            if (!next) {
                break;
            }
            sending_ = std::move(next->bytes);
            sent_of_sending_ = 0;
            message_counter& count = counts_->sent[next->type];
            count.messages.add();
            count.bytes.add(sending_->size());
        }
        const std::size_t part = std::min(buffer.size() - filled,
                                          sending_->size() - sent_of_sending_);
        std::copy_n(sending_->data() + sent_of_sending_, part,
                    buffer.data() + filled);
        filled += part;
        sent_of_sending_ += part;
        if (sent_of_sending_ == sending_->size()) {
            sending_.reset();
        }
    }
    return {filled, retiring_ && !sending_};
}

}  // namespace bronzehub::peer
