// The other daemons: which are alive, and messages to and from them.
//
// Joins membership with the transport. Messages of membership stay inside;
// everything else is handed on.
#ifndef BRONZEHUB_DAEMON_PEER_LINK_HPP
#define BRONZEHUB_DAEMON_PEER_LINK_HPP

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <span>
#include <vector>

#include "absl/status/status.h"
#include "base/clock.hpp"
#include "logging/logging.hpp"
#include "membership/membership.hpp"
#include "peer/transport.hpp"
#include "protocol/messages.hpp"
#include "settings/settings.hpp"

namespace bronzehub::daemon {

struct peer_hooks {
    // A message that is not membership's.
    std::function<void(const protocol::message&)> on_message;
    // A member came, went or changed its state.
    std::function<void()> on_change;
    std::function<void(const base::host_id&)> on_dead;
    // A member announced a configuration version.
    std::function<void(const base::host_id&, std::uint64_t)> on_version;
};

// Belongs to the decision thread, which runs `context`.
class peer_link {
public:
    peer_link(asio::io_context& context,
              const settings::daemon_settings& settings,
              std::uint64_t incarnation, const base::clock& clock,
              logging::logger& log, peer_hooks hooks);

    // Binds the peers' listener. kUnavailable when it cannot be bound. Call
    // before the decision thread runs.
    absl::Status listen();

    // Contacts the seeds.
    void join() { members_.start(); }

    // Sends a message to a host, which may be this one.
    void send(const base::host_id& host, protocol::body content);

    // Sends a message to every other live host.
    void broadcast(const protocol::body& content);

    // Live hosts, this one included. Empty while this daemon's view is old
    // after a stop of the process: nothing must be decided from it.
    std::vector<membership::dispatch_host> hosts() const;

    // Whether the incarnation of the host is known to have ended.
    bool is_dead(const base::host_id& host, std::uint64_t incarnation) const;

    // Whether this daemon polls the platform for its failure domain.
    bool is_poller() const;

    void set_configuration_version(std::uint64_t version) {
        members_.set_configuration_version(version);
    }
    void merge_host_list(std::span<const membership::listed_peer> hosts) {
        members_.merge_host_list(hosts);
    }
    void leave() { members_.leave(); }
    void tick();

    const peer::counters& counts() const { return transport_.counts(); }
    nlohmann::json dump() const;

private:
    membership::membership_hooks membership_hooks();
    peer::transport_hooks transport_hooks();
    void receive(const protocol::message& received);
    void on_member_change(const membership::member_change& change);
    void report_connect_failure(const std::string& address,
                                const absl::Status& status);
    protocol::message make_message(protocol::body content);

    settings::daemon_settings settings_;
    std::uint64_t incarnation_;
    logging::logger& log_;
    peer_hooks hooks_;
    std::uint64_t sequence_ = 0;
    peer::transport transport_;
    membership::membership members_;
    // Changes that membership reported from within its own functions.
    std::vector<base::host_id> died_;
    bool changed_ = false;
};

}  // namespace bronzehub::daemon

#endif
