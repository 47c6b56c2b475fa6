#include "membership/gossip_queue.hpp"

#include <algorithm>

namespace bronzehub::membership {

void gossip_queue::add(const base::host_id& host) {
    const auto found = std::ranges::find(entries_, host, &entry::host);
    if (found == entries_.end()) {
        entries_.push_back({host, 0});
    } else {
        found->sent = 0;
    }
}

std::vector<base::host_id> gossip_queue::take(std::size_t maximum,
                                              std::size_t transmissions,
                                              const base::host_id& receiver) {
    std::ranges::sort(entries_, {}, &entry::sent);
    std::vector<base::host_id> hosts;
    for (entry& each : entries_) {
        if (hosts.size() >= maximum) {
            break;
        }
        if (each.host != receiver) {
            ++each.sent;
            hosts.push_back(each.host);
        }
    }
    std::erase_if(entries_, [transmissions](const entry& each) {
        return each.sent >= transmissions;
    });
    return hosts;
}

}  // namespace bronzehub::membership
