// The messages that wait for one peer.
//
// The queue is bounded. When it is full, the oldest usage report makes room,
// because the next report carries the same totals; without one, the oldest
// message does. A message that waited too long is dropped as well: a grant
// that arrives after a partition would start a call whose slot has been given
// to another one.
#ifndef BRONZEHUB_PEER_SEND_QUEUE_HPP
#define BRONZEHUB_PEER_SEND_QUEUE_HPP

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "peer/counters.hpp"

namespace bronzehub::peer {

// An encoded message. The bytes are shared between the peers of a broadcast.
struct outgoing_message {
    std::size_t type = 0;  // Index in `protocol::body`.
    std::shared_ptr<const std::string> bytes;
};

struct queue_limits {
    // A message larger than this is accepted while the queue is empty.
    std::size_t max_bytes = std::size_t{1} << 20U;
    // Twice the lifetime of a grant.
    base::duration max_age = std::chrono::seconds(2);
};

// Not thread-safe.
class send_queue {
public:
    send_queue(queue_limits limits, base::clock time,
               std::shared_ptr<counters> counts);

    // Adds a message and drops others as needed. O(queue length) when full.
    void push(outgoing_message message);

    // The oldest message that is not too old.
    std::optional<outgoing_message> pop();

    bool empty() const { return entries_.empty(); }
    std::size_t bytes() const { return bytes_; }

private:
    struct entry {
        outgoing_message message;
        base::time_point queued;
    };

    void drop_for_room();
    entry take(const std::deque<entry>::iterator& position);

    queue_limits limits_;
    base::clock time_;
    std::shared_ptr<counters> counts_;
    std::deque<entry> entries_;
    std::size_t bytes_ = 0;
};

}  // namespace bronzehub::peer

#endif
