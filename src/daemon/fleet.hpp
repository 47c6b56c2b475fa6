// This daemon's part in dispatch: who dispatches for what, which backend
// servers are leaving, and the messages between the two sides.
#ifndef BRONZEHUB_DAEMON_FLEET_HPP
#define BRONZEHUB_DAEMON_FLEET_HPP

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <vector>

#include "admission/retry_budget.hpp"
#include "base/clock.hpp"
#include "configuration/snapshot_holder.hpp"
#include "daemon/replica_slots.hpp"
#include "dispatch/dispatcher.hpp"
#include "dispatch/entry_dispatch.hpp"
#include "membership/rendezvous.hpp"
#include "platform/platform.hpp"
#include "protocol/messages.hpp"
#include "settings/settings.hpp"

namespace bronzehub::daemon {

struct fleet_hooks {
    // A call got a slot.
    std::function<void(dispatch::call_id, base::backend_server_id)> start;
    // A waiting call will not run.
    std::function<void(dispatch::call_id, const base::refusal&)> refuse;
    // A fairness alarm of a service began or ended.
    std::function<void(base::service_id, const dispatch::fairness_event&)>
        alarm;
    // Sends to a host, which may be this one; delivered later.
    std::function<void(const base::host_id&, protocol::body)> send;
    // Sends to every other live host.
    std::function<void(const protocol::body&)> broadcast;
};

// Belongs to the decision thread.
class fleet {
public:
    fleet(const settings::daemon_settings& settings, std::uint64_t incarnation,
          const base::clock& clock, fleet_hooks hooks);

    // Follows a configuration that came into force.
    void on_configuration(const configuration::snapshot_pointer& next);

    // Follows membership. Without hosts this daemon dispatches for nothing.
    void on_hosts(std::vector<membership::dispatch_host> hosts);

    // Marks the backend servers that the platform's host list shows as
    // leaving, and tells the other daemons.
    void on_host_list(std::span<const platform::listed_host> hosts);

    // Handles the messages of dispatch; ignores others.
    void on_message(const protocol::message& received);

    void tick();

    // A load report of a backend server that this daemon dispatches for.
    void on_load(base::backend_server_id server,
                 const capacity::load_report& report) {
        slots_.on_load(server, report);
    }

    // The backend servers that this daemon dispatches for.
    std::span<const configuration::backend_server* const> own_servers() const {
        return own_;
    }

    dispatch::entry_dispatch& entry() { return entry_; }
    admission::retry_budget& retries() { return retries_; }

    nlohmann::json dump() const;

private:
    struct message_visitor;

    void apply();
    void apply_routes();
    void apply_slots();
    void on_leaving_notice(const protocol::leaving_notice& notice);
    bool is_leaving(const configuration::backend_server& server) const;

    settings::daemon_settings settings_;
    base::clock clock_;
    fleet_hooks hooks_;
    configuration::snapshot_pointer configuration_;
    std::vector<membership::dispatch_host> hosts_;
    // Backend servers that are leaving, until when that is believed.
    std::map<base::backend_server_id, base::time_point> leaving_;
    replica_slots slots_;
    std::vector<const configuration::backend_server*> own_;
    dispatch::entry_dispatch entry_;
    dispatch::dispatcher dispatcher_;
    admission::retry_budget retries_;
};

}  // namespace bronzehub::daemon

#endif
