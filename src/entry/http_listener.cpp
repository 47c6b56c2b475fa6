#include "entry/http_listener.hpp"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <charconv>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {
namespace {

using asio::ip::tcp;

constexpr std::size_t accepts_per_turn = 32;
// Pause after a failed accept, for example when descriptors run out.
constexpr std::chrono::milliseconds accept_pause{50};

}  // namespace

http_listener::http_listener(event_loop& loop, caller_hooks hooks)
    : loop_(loop), acceptor_(loop.context()) {
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
    std::ignore = acceptor_.open(endpoint.protocol(), error);
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
                loop_.after(accept_pause, [this] { accept(); });
            }
        });
}

// Takes all connections that wait, up to a number that lets other events in
// between. One for each turn of the loop would be too few: under a crowd of
// callers, a turn serves a hundred other events.
bool http_listener::accept_waiting() {
    for (std::size_t i = 0; i < accepts_per_turn; ++i) {
        asio::error_code error;
        tcp::socket socket(loop_.context());
        std::ignore = acceptor_.accept(socket, error);
        if (error == asio::error::would_block) {
            return true;
        }
        if (error == asio::error::connection_aborted) {
            continue;  // The caller left the queue.
        }
        if (error) {
            return false;
        }
        auto connection = std::make_shared<caller_connection>(
            loop_, std::move(socket), hooks_);
        connections_.insert(connection);
        connection->start();
    }
    return true;
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

std::size_t http_listener::active() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        connections_,
        [](const auto& connection) { return connection->in_call(); }));
}

}  // namespace bronzehub::entry
