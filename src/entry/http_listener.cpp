#include "entry/http_listener.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <asio/ip/address.hpp>
#include <cerrno>
#include <charconv>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {
namespace {

using asio::ip::tcp;

// Enough for some thousands of connections a second when a turn takes some tens
// of ms: connections that wait in the kernel don't show as lateness of the
// loop, so their callers would give up unseen.
constexpr std::size_t accepts_per_turn = 64;
// Pause after a failed accept, for example when descriptors run out.
constexpr std::chrono::milliseconds accept_pause{50};

}  // namespace

http_listener::http_listener(event_loop& loop, caller_hooks hooks)
    : loop_(loop),
      acceptor_(loop.context()),
      refused_parser_(message_kind::request, listener_limits{}.header_bytes,
                      {[](message_head&) {}, [](std::string_view) {}}) {
    auto own = std::make_shared<caller_hooks>(std::move(hooks));
    own->on_closed = [this, outer = own->on_closed](caller_connection& closed) {
        if (outer) {
            outer(closed);
        }
        connections_.erase(closed.shared_from_this());
    };
    hooks_ = std::move(own);
}

absl::Status http_listener::listen(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    std::uint16_t port = 0;
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (colon == std::string::npos || error ||
        std::from_chars(address.data() + colon + 1,
                        address.data() + address.size(), port)
                .ec != std::errc()) {
        return absl::InvalidArgumentError(
            absl::StrCat("listener: found ", address, ", expected IP:port"));
    }
    const tcp::endpoint endpoint(ip, port);
    protocol_ = endpoint.protocol();
    std::ignore = acceptor_.open(protocol_, error);
    if (!error) {
        std::ignore =
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        std::ignore = acceptor_.bind(endpoint, error);
    }
    if (!error) {
        std::ignore = acceptor_.non_blocking(true, error);
    }
    if (!error) {
        std::ignore =
            acceptor_.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", address, ": ", error.message()));
    }
    accept();
    return absl::OkStatus();
}

std::uint16_t http_listener::port() const {
    asio::error_code ignored;  // A closed listener has port 0.
    return acceptor_.local_endpoint(ignored).port();
}

void http_listener::accept() {
    acceptor_.async_wait(
        tcp::acceptor::wait_read, [this](const asio::error_code& error) {
            if (error || !acceptor_.is_open()) {
                return;
            }
            if (accept_waiting()) {
                accept();
            } else {
                loop_.run_after(accept_pause, [this] { accept(); });
            }
        });
}

// Takes all connections that wait, up to a number that lets other events in
// between.
bool http_listener::accept_waiting() {
    for (std::size_t i = 0; i < accepts_per_turn; ++i) {
        const int handle = accept4(acceptor_.native_handle(), nullptr, nullptr,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (handle < 0 && errno == ECONNABORTED) {
            continue;  // The caller left the queue.
        }
        if (handle < 0) {
            return errno == EAGAIN;
        }
        if (!hooks_->accept || hooks_->accept()) {
            open(handle, {}, true);
        } else if (!refuse(handle)) {
            close(handle);
        }
    }
    return true;
}

void http_listener::open(int handle, std::string_view received, bool admitted) {
    tcp::socket socket(loop_.context());
    asio::error_code error;
    std::ignore = socket.assign(protocol_, handle, error);
    if (error) {
        // The loop can't watch one more socket; the caller tries elsewhere.
        ++unwatched_;
        close(handle);
        return;
    }
    auto connection =
        std::make_shared<caller_connection>(loop_, std::move(socket), hooks_);
    connections_.insert(connection);
    if (admitted) {
        connection->admit();
    }
    connection->start(received);
}

// Answers a request that has arrived whole, without a connection object: a host
// that refuses most requests would spend most of its time on setting them up.
// Returns whether the handle was taken over.
bool http_listener::refuse(int handle) {
    auto& buffer = loop_.read_buffer();
    const ssize_t size = recv(handle, buffer.data(), buffer.size(), 0);
    if (size < 0 && errno == EAGAIN) {
        open(handle, {}, false);
        return true;
    }
    if (size <= 0) {
        return false;  // The caller has left.
    }
    const std::string_view received(buffer.data(),
                                    static_cast<std::size_t>(size));
    refused_parser_.next();
    refused_parser_.set_max_head_bytes(hooks_->limits().header_bytes);
    if (refused_parser_.feed(received) != received.size() ||
        refused_parser_.where() != message_parser::state::complete) {
        // What follows must be read, and a malformed request be answered so.
        open(handle, received, false);
        return true;
    }
    const auto response = hooks_->refusal(refused_parser_.head());
    if (!response) {
        open(handle, received, true);
        return true;
    }
    // The caller that has left meanwhile needs none.
    std::ignore =
        send(handle, response->data(), response->size(), MSG_NOSIGNAL);
    return false;
}

void http_listener::stop() {
    asio::error_code ignored;  // Nothing follows from a failed close.
    std::ignore = acceptor_.close(ignored);
}

void http_listener::close_idle() {
    const std::vector<std::shared_ptr<caller_connection>> open(
        connections_.begin(), connections_.end());
    std::ranges::for_each(
        open, [](const auto& connection) { connection->close_idle(); });
}

void http_listener::abort_responses() {
    const std::vector<std::shared_ptr<caller_connection>> open(
        connections_.begin(), connections_.end());
    std::ranges::for_each(open, [](const auto& connection) {
        if (connection->in_call()) {
            connection->abort();
        }
    });
}

std::size_t http_listener::active() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        connections_,
        [](const auto& connection) { return connection->in_call(); }));
}

}  // namespace bronzehub::entry
