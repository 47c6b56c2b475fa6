// Which host dispatches for which backend server.
//
// Rendezvous hashing: every host scores every backend server, the highest
// score wins. Hosts with the same view agree without exchanging anything, and
// when a host comes or goes only the backend servers that it wins or held
// move. Not for choosing where a call enters or runs.
#ifndef BRONZEHUB_MEMBERSHIP_RENDEZVOUS_HPP
#define BRONZEHUB_MEMBERSHIP_RENDEZVOUS_HPP

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/strong_id.hpp"

namespace bronzehub::membership {

struct dispatch_host {
    base::host_id host;
    base::failure_domain_id failure_domain;
    // A leaving host dispatches only when no other host is live.
    bool leaving = false;
};

struct placed_server {
    base::backend_server_id id;
    base::failure_domain_id failure_domain;
};

// The dispatching host of the backend server: the winner among the hosts of
// its failure domain that are not leaving, else among all hosts that are not
// leaving, else among all hosts. Null when `hosts` is empty. O(hosts).
const dispatch_host* choose_dispatcher(const placed_server& server,
                                       std::span<const dispatch_host> hosts);

using dispatcher_map =
    std::unordered_map<base::backend_server_id, base::host_id>;

// The dispatching host of every backend server; empty without hosts.
// O(servers * hosts).
dispatcher_map assign_dispatchers(std::span<const placed_server> servers,
                                  std::span<const dispatch_host> hosts);

}  // namespace bronzehub::membership

#endif
