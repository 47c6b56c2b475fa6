// This daemon's part in the fleet: it joins dispatch, membership and the
// configuration, and carries messages between them and the peers.
#ifndef BRONZEHUB_DAEMON_FLEET_HPP
#define BRONZEHUB_DAEMON_FLEET_HPP

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "admission/retry_budget.hpp"
#include "base/clock.hpp"
#include "configuration/snapshot_holder.hpp"
#include "dispatch/dispatcher.hpp"
#include "dispatch/entry_dispatch.hpp"
#include "protocol/messages.hpp"
#include "settings/settings.hpp"

namespace bronzehub::daemon {

struct fleet_hooks {
    // A call got a slot.
    std::function<void(dispatch::call_id, base::backend_server_id)> start;
    // A waiting call will not run.
    std::function<void(dispatch::call_id, const base::refusal&)> refuse;
    // Sends a message to another host.
    std::function<void(const base::host_id&, protocol::message)> send_peer;
    // Runs a function later on the decision thread.
    std::function<void(std::function<void()>)> post;
};

// Belongs to the decision thread.
class fleet {
public:
    fleet(const settings::daemon_settings& settings, std::uint64_t incarnation,
          const base::clock& clock, fleet_hooks hooks);

    // Follows a configuration that came into force.
    void on_configuration(const configuration::snapshot_pointer& next);

    // Delivers a message from a peer or from this daemon itself.
    void on_message(const protocol::message& received);

    // Sends a message to a host, which may be this one.
    void send(const base::host_id& host, protocol::body content);

    // Sends a message to every other live host.
    void broadcast(const protocol::body& content);

    // Whether the incarnation of the host is known to have ended.
    bool is_dead(const base::host_id& host, std::uint64_t incarnation) const;

    void tick();

    dispatch::entry_dispatch& entry() { return entry_; }
    admission::retry_budget& retries() { return retries_; }

    nlohmann::json dump() const;

private:
    struct message_visitor;

    void apply();

    settings::daemon_settings settings_;
    std::uint64_t incarnation_;
    base::clock clock_;
    fleet_hooks hooks_;
    std::uint64_t sequence_ = 0;
    configuration::snapshot_pointer configuration_;
    dispatch::entry_dispatch entry_;
    dispatch::dispatcher dispatcher_;
    admission::retry_budget retries_;
};

}  // namespace bronzehub::daemon

#endif
