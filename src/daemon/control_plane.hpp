// This daemon's dealings with the platform: configuration, plans and claims.
//
// Joins the deciding libraries with the platform's HTTP services and with the
// peers. Serving goes on without the platform; what needs it says so.
#ifndef BRONZEHUB_DAEMON_CONTROL_PLANE_HPP
#define BRONZEHUB_DAEMON_CONTROL_PLANE_HPP

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <span>
#include <string>

#include "base/clock.hpp"
#include "base/timer_queue.hpp"
#include "claims/claim_registry.hpp"
#include "configuration/configuration_sync.hpp"
#include "daemon/platform_endpoints.hpp"
#include "planning/configuration_store.hpp"
#include "planning/planner.hpp"
#include "protocol/messages.hpp"
#include "settings/settings.hpp"

namespace bronzehub::daemon {

struct control_hooks {
    std::function<void(const base::host_id&, protocol::body)> send;
    // Sends to every live peer.
    std::function<void(const protocol::body&)> broadcast;
    // A version came into force.
    std::function<void(const configuration::snapshot_pointer&)> adopted;
    // Runs a function later on the decision thread. Called from any thread.
    std::function<void(std::function<void()>)> post;
    // Whether the incarnation of the host is known to have ended.
    std::function<bool(const base::host_id&, std::uint64_t)> is_dead;
};

// Belongs to the decision thread. Destroy it when that thread has stopped.
class control_plane {
public:
    control_plane(const settings::daemon_settings& settings,
                  std::uint64_t incarnation, const base::clock& clock,
                  control_hooks hooks);

    // Writes the settings' initial configuration as version 1 when the
    // platform holds none. Repeats until the platform has answered.
    void bootstrap();

    void on_message(const base::host_id& from,
                    const protocol::configuration_notice& notice);
    void on_message(const base::host_id& from,
                    const protocol::configuration_request& request);
    void on_message(const base::host_id& from,
                    const protocol::configuration_delta& delta);

    configuration::configuration_sync& sync() { return sync_; }
    planning::planner& planner() { return planner_; }
    claims::claim_registry& claims() { return claims_; }
    const platform::host_list& host_list() const { return platform_.hosts; }

    // Runs due timers and sends due requests. Call it every few milliseconds:
    // claims wait for it.
    void tick();

    nlohmann::json dump() const;

private:
    using answer_callback = configuration::configuration_sync::answer_callback;

    configuration::configuration_sync::hooks sync_hooks();
    planning::planner::hooks planner_hooks();
    claims::claim_registry::hooks claim_hooks();
    void fetch_from_peer(const base::host_id& peer, std::uint64_t have_version,
                         answer_callback done);
    void write_initial_snapshot(std::string text);
    void write_initial_head();
    void retry_bootstrap();
    std::string new_plan_id();

    settings::daemon_settings settings_;
    std::uint64_t incarnation_;
    base::clock clock_;
    control_hooks hooks_;
    base::timer_queue timers_;
    platform_endpoints platform_;
    planning::configuration_store store_;
    configuration::configuration_sync sync_;
    planning::planner planner_;
    claims::claim_registry claims_;
    std::map<base::host_id, answer_callback> peer_requests_;
    std::uint64_t plans_made_ = 0;
};

}  // namespace bronzehub::daemon

#endif
