// Dispatcher side: which waiting call of the fleet runs next on the backend
// servers that this daemon dispatches for.
//
// The order between organisations follows virtual time on fleet-wide usage
// counters; see `fair_order.hpp`. One object serves all services. The daemon
// delivers the messages that it sends to itself through the same functions.
//
// Example:
//   dispatcher decide(options, clock, [&](host, grant) { peers.send(...); });
//   decide.set_live_hosts(hosts);
//   decide.set_backend_servers(servers);
//   decide.on_announcement(from, announcement);
#ifndef BRONZEHUB_DISPATCH_DISPATCHER_HPP
#define BRONZEHUB_DISPATCH_DISPATCHER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <span>

#include "base/clock.hpp"
#include "base/strong_id.hpp"
#include "dispatch/fairness_alarm.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::dispatch {

// A backend server that this daemon dispatches for.
struct dispatched_server {
    base::backend_server_id id;
    base::service_id service;
    std::uint32_t slots = 0;
    bool leaving = false;  // Gets no new grants; running calls continue.
};

// Weights are scaled to a mean of 1 per service. An organisation without an
// entry has the mean weight.
struct organisation_weight {
    base::service_id service;
    base::organisation_id organisation;
    double weight = 1;
};

// The slots of one service in the whole fleet: the unit of the debt bound.
struct fleet_capacity {
    base::service_id service;
    std::uint32_t slots = 0;
};

// A host that membership believes to be alive, this one included.
struct live_host {
    base::host_id host;
    base::failure_domain_id failure_domain;
};

struct dispatcher_options {
    base::host_id host;
    base::failure_domain_id failure_domain;
    std::uint64_t incarnation = 1;
    base::duration grant_lifetime = std::chrono::seconds(1);
    // Release to start of the next call through a remote entry daemon.
    base::duration grant_round_trip = std::chrono::milliseconds(2);
    // Time between usage reports; the fairness alarm observes as often.
    base::duration exchange_interval = std::chrono::milliseconds(500);
    // The bound of the virtual time clamp, in seconds of fleet capacity.
    base::duration debt = std::chrono::seconds(5);
    // Calls at entry daemons of other failure domains wait this much longer
    // before they come before calls of the own domain. It bounds how long a
    // domain without backend servers of its own can be passed over.
    base::duration domain_preference = std::chrono::seconds(2);
    bool grant_ahead = true;
    // False for the earlier designs that measurements compare with.
    bool merge_usage_reports = true;
    bool count_expected_remainder = true;
};

// Not thread-safe; belongs to the decision thread. The send hook may call
// back into the object.
class dispatcher {
public:
    using send_hook =
        std::function<void(const base::host_id&, const protocol::slot_grant&)>;
    using alarm_hook =
        std::function<void(base::service_id, const fairness_event&)>;

    dispatcher(dispatcher_options options, base::clock clock, send_hook send);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    // Called when a fairness alarm begins or ends.
    void set_alarm_hook(alarm_hook alarm);

    // Replaces the set of backend servers. A server that leaves the set loses
    // its grants here; when it returns, it is dispatched in a new term, after
    // one grant lifetime in which inventories arrive.
    void set_backend_servers(std::span<const dispatched_server> servers);

    void set_weights(std::span<const organisation_weight> weights);
    void set_fleet_capacity(std::span<const fleet_capacity> capacity);

    // Hosts that are missing are dead: their announcements are dropped and
    // their grants reclaimed.
    void set_live_hosts(std::span<const live_host> hosts);

    void on_announcement(const protocol::sender& from,
                         const protocol::work_announcement& announcement);
    void on_usage_report(const protocol::sender& from,
                         const protocol::usage_report& report);
    void on_release(const protocol::sender& from,
                    const protocol::grant_release& release);
    void on_inventory(const protocol::sender& from,
                      const protocol::inventory& inventory);

    // Grants what has become possible with time. Call it every 20 ms or so.
    void tick();

    // State for the operators' state dump.
    nlohmann::json dump() const;

private:
    class implementation;
    std::unique_ptr<implementation> self_;
};

}  // namespace bronzehub::dispatch

#endif
