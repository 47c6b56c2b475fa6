// Accepts callers' connections and hands their requests on.
#ifndef BRONZEHUB_ENTRY_HTTP_LISTENER_HPP
#define BRONZEHUB_ENTRY_HTTP_LISTENER_HPP

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

#include "absl/status/status.h"
#include "entry/caller_connection.hpp"

namespace bronzehub::entry {

// Not thread-safe. Must outlive its connections' hooks: call `stop` first.
class http_listener {
public:
    http_listener(event_loop& loop, caller_hooks hooks);

    // Errors: kInvalidArgument for a malformed address, kUnavailable when the
    // address cannot be bound.
    absl::Status listen(const std::string& address);

    // The port listened on.
    std::uint16_t port() const;

    // Closes the listening socket; open connections go on.
    void stop();

    // Closes the connections that have no request.
    void close_idle();

    // Breaks off the responses in progress.
    void abort_responses();

    std::size_t connections() const { return connections_.size(); }
    // Accepted sockets that could not be watched and were closed unread.
    std::uint64_t unwatched() const { return unwatched_; }
    // Connections whose request has no response yet.
    std::size_t active() const;

private:
    void accept();
    bool accept_waiting();
    // Makes a connection of an accepted socket, of which `received` was read.
    void open(int handle, std::string_view received, bool admitted);
    bool refuse(int handle);

    event_loop& loop_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp protocol_ = asio::ip::tcp::v4();
    // Reads the one request of connections that are refused.
    message_parser refused_parser_;
    std::shared_ptr<const caller_hooks> hooks_;
    std::unordered_set<std::shared_ptr<caller_connection>> connections_;
    std::uint64_t unwatched_ = 0;
};

}  // namespace bronzehub::entry

#endif
