// Messages between daemons over TCP.
//
// Delivery is best effort: a message arrives at most once, messages of one
// type to one host arrive in order while the connection lasts, and messages
// are dropped when the peer does not read or cannot be reached. Libraries that
// decide exchange `protocol::message` values and do not depend on this one.
//
// Example:
//   transport peers(context, {.host = "h1", .shared_key = key}, hooks);
//   absl::Status status = peers.listen("10.0.0.1", 7400);
//   peers.set_peer("h2", "10.0.0.2:7400");
//   peers.send("h2", message);
#ifndef BRONZEHUB_PEER_TRANSPORT_HPP
#define BRONZEHUB_PEER_TRANSPORT_HPP

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "absl/status/status.h"
#include "base/clock.hpp"
#include "base/strong_id.hpp"
#include "peer/counters.hpp"
#include "peer/send_queue.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::peer {

struct transport_options {
    base::host_id host;  // This host.
    std::string shared_key;
    std::uint32_t major_version = protocol::major_version;
    std::size_t max_message_bytes = std::size_t{16} << 20U;
    queue_limits queue{};
    std::chrono::milliseconds handshake_timeout{2000};
    std::chrono::milliseconds unacknowledged_timeout{3000};
    // Delay between attempts to connect: doubles from the first to the last,
    // less up to half of it at random. The last one bounds how long a healed
    // partition goes unnoticed.
    std::chrono::milliseconds first_retry_delay{100};
    std::chrono::milliseconds last_retry_delay{2000};
};

// Called on the io_context's thread.
struct transport_hooks {
    std::function<void(protocol::message)> on_message =
        [](const protocol::message&) {};
    std::function<void(const base::host_id&)> on_connect =
        [](const base::host_id&) {};
    // The last connection to the host has ended.
    std::function<void(const base::host_id&, const absl::Status&)>
        on_disconnect = [](const base::host_id&, const absl::Status&) {};
    // A connection ended before it was authenticated. kPermissionDenied: the
    // shared keys differ; kUnimplemented: the major versions differ. The host
    // is empty when it is not known.
    std::function<void(const base::host_id&, const std::string& address,
                       const absl::Status&)>
        on_connect_failed = [](const base::host_id&, const std::string&,
                               const absl::Status&) {};
};

// Thread-safe. The io_context must be run by one thread; destroy the
// transport on that thread or after it has stopped.
class transport {
public:
    transport(asio::io_context& context, transport_options options,
              transport_hooks hooks,
              base::clock time = base::monotonic_clock());
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    ~transport();

    // Accepts connections at the address; port 0 takes a free port. Call
    // before the io_context runs. kInvalidArgument: not an IP address;
    // kUnavailable: the address cannot be bound.
    absl::Status listen(const std::string& ip, std::uint16_t port);
    // The port that `listen` bound.
    std::uint16_t port() const;

    // Makes the host reachable at "IP:port", or changes its address. The
    // transport dials when there is something to send. An address that is not
    // "IP:port" is reported by `on_connect_failed`.
    void set_peer(const base::host_id& host, const std::string& address);
    // Dials an address whose host is not known yet, again and again until a
    // host answers; `on_connect` gives its name.
    void add_seed(const std::string& address);
    // Closes the connections to the host and drops what waits for it.
    void remove_peer(const base::host_id& host);

    // Queues a message; never blocks. A message to this host itself is handed
    // to `on_message`. A message to an unknown host is dropped and counted.
    void send(const base::host_id& host, const protocol::message& message);
    // The same for several hosts, encoding the message once.
    void send(std::span<const base::host_id> hosts,
              const protocol::message& message);

    // Closes everything, without `on_disconnect`.
    void stop();

    const counters& counts() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

}  // namespace bronzehub::peer

#endif
