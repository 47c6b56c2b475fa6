// Counters of the transport between daemons.
//
// Control traffic is a stated limit of the system, so bytes and messages are
// counted per message type, and the bytes on the socket, with framing, in
// total.
#ifndef BRONZEHUB_PEER_COUNTERS_HPP
#define BRONZEHUB_PEER_COUNTERS_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

#include "protocol/messages.hpp"

namespace bronzehub::peer {

inline constexpr std::size_t message_types =
    std::variant_size_v<protocol::body>;

// The name of the message type with this index in `protocol::body`, as the
// label of a metric.
std::string_view message_type_name(std::size_t type);

// A counter that one thread raises and any thread reads.
class counter {
public:
    void add(std::uint64_t amount = 1) {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

// Encoded messages with their length prefix, without HTTP/2 framing.
struct message_counter {
    counter messages;
    counter bytes;
};

struct counters {
    std::array<message_counter, message_types> sent;
    std::array<message_counter, message_types> received;
    counter socket_bytes_sent;
    counter socket_bytes_received;
    counter connects;
    counter disconnects;
    counter connect_failures;  // Of any cause, refusals included.
    counter authentication_failures;
    counter version_refusals;
    counter dropped_usage_reports;  // Queue full.
    counter dropped_other;          // Queue full.
    counter dropped_expired;        // Waited too long for a connection.
    counter dropped_unknown_host;
    counter dropped_oversized;  // Larger than this host sends.
    counter refused_messages;   // Oversized, malformed or of another sender.
};

}  // namespace bronzehub::peer

#endif
