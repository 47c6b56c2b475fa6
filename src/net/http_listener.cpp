#include "net/http_listener.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <asio/ip/address.hpp>
#include <cerrno>
#include <cstddef>
#include <iterator>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/ip_endpoint.hpp"

namespace bronzehub::net {
namespace {

using asio::ip::tcp;

// Connections accepted per wake-up of the loop. Suffices for some thousands a
// second when an iteration takes some tens of ms. Connections that wait in the
// kernel's queue do not count as lateness of the loop: their callers would time
// out without the host noticing its overload.
constexpr std::size_t max_accepts_per_wakeup = 64;
// Connections that are closed together for new ones, so that few of them cause
// a search through all connections.
constexpr std::size_t max_closed_at_once = 8;
// Delay after a failed accept, for example when no descriptors are left.
constexpr std::chrono::milliseconds accept_retry_delay{50};

}  // namespace

http_listener::http_listener(event_loop& loop,
                             memory_budget::memory_account& account,
                             caller_hooks hooks)
    : loop_(loop),
      account_(account),
      acceptor_(loop.context()),
      refusal_parser_(message_kind::request, listener_limits{}.max_header_bytes,
                      {[](message_head&) {}, [](std::string_view) {}}) {
    auto own_hooks = std::make_shared<caller_hooks>(std::move(hooks));
    own_hooks->on_closed =
        [this, on_closed = own_hooks->on_closed](caller_connection& closed) {
            if (on_closed) {
                on_closed(closed);
            }
            const auto connection = closed.shared_from_this();
            if (connection->is_open()) {
                closing_connections_.push_back(connection);
            }
            connections_.erase(connection);
        };
    hooks_ = std::move(own_hooks);
}

absl::Status http_listener::listen(const std::string& address) {
    const auto parsed = base::parse_ip_endpoint(address);
    asio::error_code error;
    const auto ip =
        asio::ip::make_address(parsed ? parsed->address : "", error);
    if (error) {
        return absl::InvalidArgumentError(
            absl::StrCat("listener: found ", address, ", expected IP:port"));
    }
    const tcp::endpoint endpoint(ip, parsed->port);
    protocol_ = endpoint.protocol();
    std::ignore = acceptor_.open(protocol_, error);
    if (!error) {
        std::ignore =
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        std::ignore = acceptor_.bind(endpoint, error);
    }
    if (!error && account_.is_limited()) {
        // Inherited by the connections.
        asio::error_code ignored;  // The kernel chooses a size then.
        std::ignore = acceptor_.set_option(
            asio::socket_base::receive_buffer_size(caller_receive_buffer_bytes),
            ignored);
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
            if (accept_pending()) {
                accept();
            } else {
                loop_.run_after(accept_retry_delay, [this] { accept(); });
            }
        });
}

// Accepts the pending connections, up to a limit that leaves time for other
// events. Returns whether accepting may continue without a delay.
bool http_listener::accept_pending() {
    for (std::size_t i = 0; i < max_accepts_per_wakeup; ++i) {
        const int descriptor = accept4(acceptor_.native_handle(), nullptr,
                                       nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0 && errno == ECONNABORTED) {
            continue;  // The caller disconnected before the accept.
        }
        if (descriptor < 0) {
            return errno == EAGAIN ||
                   (errno == EMFILE && close_silent_connections());
        }
        // The kernel assigns the lowest free number, so at least as many
        // descriptors are open.
        if (descriptor >= max_descriptors_ && !close_silent_connections()) {
            ++descriptor_closures_;
            close(descriptor);
            continue;
        }
        if (!hooks_->admits_first_request || hooks_->admits_first_request()) {
            add_connection(descriptor, {}, true);
        } else if (!try_refuse(descriptor)) {
            close(descriptor);
        }
    }
    return true;
}

void http_listener::add_connection(int descriptor, std::string_view received,
                                   bool admitted) {
    tcp::socket socket(loop_.context());
    asio::error_code error;
    std::ignore = socket.assign(protocol_, descriptor, error);
    if (error) {
        // The loop cannot register another socket. The caller sees a closed
        // connection and can try another host.
        ++registration_failures_;
        close(descriptor);
        return;
    }
    auto connection = std::make_shared<caller_connection>(
        loop_, std::move(socket), account_, hooks_);
    connections_.insert(connection);
    if (admitted) {
        connection->admit_next_request();
    }
    connection->start(received);
}

// Refuses a request that has already arrived completely without creating a
// connection object: a host that refuses most requests would spend most of its
// time on setting up connections. Returns whether a connection took over the
// descriptor.
bool http_listener::try_refuse(int descriptor) {
    auto& buffer = loop_.read_buffer();
    const ssize_t size = recv(descriptor, buffer.data(), buffer.size(), 0);
    if (size < 0 && errno == EAGAIN) {
        add_connection(descriptor, {}, false);
        return true;
    }
    if (size <= 0) {
        return false;  // The caller has disconnected.
    }
    const std::string_view received(buffer.data(),
                                    static_cast<std::size_t>(size));
    refusal_parser_.next();
    refusal_parser_.set_max_head_bytes(hooks_->limits().max_header_bytes);
    if (refusal_parser_.feed(received) != received.size() ||
        refusal_parser_.current_state() != message_parser::state::complete) {
        // The rest must be read first, or the request is malformed and must be
        // rejected as such.
        add_connection(descriptor, received, false);
        return true;
    }
    const auto response = hooks_->make_refusal_response(refusal_parser_.head());
    if (!response) {
        add_connection(descriptor, received, true);
        return true;
    }
    // An error means that the caller has disconnected and needs no response.
    std::ignore =
        send(descriptor, response->data(), response->size(), MSG_NOSIGNAL);
    return false;
}

bool http_listener::close_silent_connections() {
    std::vector<std::shared_ptr<caller_connection>> silent;
    std::ranges::copy_if(connections_, std::back_inserter(silent),
                         [](const auto& connection) {
                             return !connection->has_active_request();
                         });
    std::ranges::for_each(closing_connections_, [&silent](const auto& closing) {
        const auto connection = closing.lock();
        if (connection && connection->is_open() &&
            connection->unsent_bytes() == 0) {
            silent.push_back(connection);
        }
    });
    const std::size_t count = std::min(max_closed_at_once, silent.size());
    std::ranges::partial_sort(
        silent, silent.begin() + static_cast<std::ptrdiff_t>(count), {},
        [](const auto& connection) { return connection->last_input_at(); });
    silent.resize(count);
    std::ranges::for_each(silent, [](const auto& connection) {
        connection->close_for_descriptors();
    });
    descriptor_closures_ += count;
    return count > 0;
}

void http_listener::cut_off_slow_readers(base::duration limit) {
    std::vector<std::shared_ptr<caller_connection>> unread;
    const auto add = [&unread](const auto& connection) {
        if (connection && connection->unsent_bytes() > 0) {
            unread.push_back(connection);
        }
    };
    std::ranges::for_each(connections_, add);
    std::ranges::for_each(closing_connections_,
                          [&add](const auto& closing) { add(closing.lock()); });
    std::ranges::for_each(unread, [limit](const auto& connection) {
        connection->cut_off_slow_reader(limit);
    });
}

void http_listener::stop() {
    asio::error_code ignored;  // The socket is given up in any case.
    std::ignore = acceptor_.close(ignored);
}

void http_listener::close_idle_connections() {
    const std::vector<std::shared_ptr<caller_connection>> open_connections(
        connections_.begin(), connections_.end());
    std::ranges::for_each(open_connections, [](const auto& connection) {
        connection->close_if_idle();
    });
}

void http_listener::abort_responses() {
    const std::vector<std::shared_ptr<caller_connection>> open_connections(
        connections_.begin(), connections_.end());
    std::ranges::for_each(open_connections, [](const auto& connection) {
        if (connection->has_active_request()) {
            connection->abort();
        } else {
            connection->discard_unsent();
        }
    });
    std::ranges::for_each(closing_connections_, [](const auto& closing) {
        if (const auto connection = closing.lock()) {
            connection->discard_unsent();
        }
    });
}

bool http_listener::has_unsent_responses() {
    std::erase_if(closing_connections_, [](const auto& closing) {
        const auto connection = closing.lock();
        return !connection || !connection->is_open();
    });
    const auto has_unsent = [](const auto& connection) {
        return connection && connection->unsent_bytes() > 0;
    };
    return std::ranges::any_of(closing_connections_, has_unsent,
                               &std::weak_ptr<caller_connection>::lock) ||
           std::ranges::any_of(connections_, has_unsent);
}

std::size_t http_listener::active_requests() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [](const auto& connection) {
            return connection->has_active_request();
        }));
}

}  // namespace bronzehub::net
