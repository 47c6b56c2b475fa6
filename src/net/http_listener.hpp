// An HTTP/1.1 listener: accepts the connections of callers and passes their
// requests to hooks.
#ifndef BRONZEHUB_NET_HTTP_LISTENER_HPP
#define BRONZEHUB_NET_HTTP_LISTENER_HPP

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "absl/status/status.h"
#include "net/caller_connection.hpp"

namespace bronzehub::net {

// Not thread-safe. The hooks of open connections refer to the listener: it must
// outlive them, and `stop` must be called before it is destroyed.
class http_listener {
public:
    // `account` must outlive the listener's connections.
    http_listener(event_loop& loop, memory_budget::memory_account& account,
                  caller_hooks hooks);

    // Sets the number of open descriptors of the process from which on
    // connections without an active request are closed for new ones, and new
    // ones if there is none of these. The default is unlimited.
    void set_max_descriptors(int count) { max_descriptors_ = count; }

    // Starts listening on "IP:port".
    // Errors: kInvalidArgument for a malformed address, kUnavailable when the
    // address cannot be bound.
    absl::Status listen(const std::string& address);

    // Returns the port of the listening socket; 0 if it is closed.
    std::uint16_t port() const;

    // Closes the listening socket; open connections remain.
    void stop();

    // Closes the connections without an active request.
    void close_idle_connections();

    // Aborts all responses in progress, and those that callers have not read
    // to the end.
    void abort_responses();

    // Whether a caller has not read a whole response that has ended.
    bool has_unsent_responses();

    // Resets connections whose callers have not read their response for as long
    // as `limit`.
    void cut_off_slow_readers(base::duration limit);

    // Number of open connections.
    std::size_t connection_count() const { return connections_.size(); }
    // Number of accepted sockets that could not be registered with the event
    // loop and were closed without being read.
    std::uint64_t registration_failures() const {
        return registration_failures_;
    }
    // Number of connections that were closed to free descriptors, or refused
    // because there are none.
    std::uint64_t descriptor_closures() const { return descriptor_closures_; }
    // Number of connections with an active request.
    std::size_t active_requests() const;

private:
    // Waits for connections and accepts them.
    void accept();
    bool accept_pending();
    // Creates a connection for an accepted socket. `received` holds bytes
    // already read from it.
    void add_connection(int descriptor, std::string_view received,
                        bool admitted);
    bool try_refuse(int descriptor);
    // Closes connections without an active request, those first that have been
    // silent longest. Returns whether there are any.
    bool close_silent_connections();

    event_loop& loop_;
    memory_budget::memory_account& account_;
    int max_descriptors_ = std::numeric_limits<int>::max();
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp protocol_ = asio::ip::tcp::v4();
    // Parses the request of a connection that is refused without a
    // `caller_connection`.
    message_parser refusal_parser_;
    std::shared_ptr<const caller_hooks> hooks_;
    std::unordered_set<std::shared_ptr<caller_connection>> connections_;
    // Connections that close when their caller has read the last response, or
    // has closed too.
    std::vector<std::weak_ptr<caller_connection>> closing_connections_;
    std::uint64_t registration_failures_ = 0;
    std::uint64_t descriptor_closures_ = 0;
};

}  // namespace bronzehub::net

#endif
