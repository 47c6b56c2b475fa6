// News to piggyback on messages, each passed on a bounded number of times.
#ifndef BRONZEHUB_MEMBERSHIP_GOSSIP_QUEUE_HPP
#define BRONZEHUB_MEMBERSHIP_GOSSIP_QUEUE_HPP

#include <cstddef>
#include <vector>

#include "base/strong_id.hpp"

namespace bronzehub::membership {

// Holds the names of hosts about which there is news; the content is read from
// the member table when a message is built, so that old news is never sent.
// Not thread-safe.
class gossip_queue {
public:
    // Adds news about the host, or starts its retransmissions again.
    void add(const base::host_id& host);

    // Takes up to `maximum` hosts other than the receiver, those sent least
    // often first, and counts one transmission for each. A host that was sent
    // `transmissions` times leaves the queue. O(n log n).
    std::vector<base::host_id> take(std::size_t maximum,
                                    std::size_t transmissions,
                                    const base::host_id& receiver);

    std::size_t size() const { return entries_.size(); }
    void clear() { entries_.clear(); }

private:
    struct entry {
        base::host_id host;
        std::size_t sent = 0;
    };

    std::vector<entry> entries_;
};

}  // namespace bronzehub::membership

#endif
