#include "membership/rendezvous.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>

#include "base/hash.hpp"

namespace bronzehub::membership {
namespace {

// Ordered by suitability first, so that one maximum finds the winner. The
// name decides between equal hashes.
struct score {
    bool stays = false;
    bool same_domain = false;
    std::uint64_t hash = 0;
    std::string_view name;

    auto operator<=>(const score&) const = default;
};

score score_of(const placed_server& server, const dispatch_host& host) {
    return {!host.leaving,
            !host.leaving && host.failure_domain == server.failure_domain,
            base::stable_hash(host.host, server.id.value()), host.host};
}

}  // namespace

const dispatch_host* choose_dispatcher(const placed_server& server,
                                       std::span<const dispatch_host> hosts) {
    const auto winner = std::ranges::max_element(
        hosts, {}, [&server](const dispatch_host& host) {
            return score_of(server, host);
        });
    return winner == hosts.end() ? nullptr : &*winner;
}

dispatcher_map assign_dispatchers(std::span<const placed_server> servers,
                                  std::span<const dispatch_host> hosts) {
    dispatcher_map assigned;
    for (const placed_server& server : servers) {
        if (const auto* winner = choose_dispatcher(server, hosts)) {
            assigned.emplace(server.id, winner->host);
        }
    }
    return assigned;
}

}  // namespace bronzehub::membership
