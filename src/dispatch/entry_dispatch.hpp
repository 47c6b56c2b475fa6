// Entry side of dispatch: the calls that wait and run at this daemon.
//
// The daemon submits every admitted call here. The object announces counts of
// waiting calls to the dispatchers of the call's service, starts the head of
// an organisation's queue when a slot grant arrives, and reports usage, ended
// grants and its inventory of running grants. It neither knows nor decides
// the order between organisations: `dispatcher` does.
//
// Example:
//   entry_dispatch entry(options, clock, {.send = ..., .start = ..., ...});
//   entry.set_dispatchers(routes);
//   if (auto refused = entry.submit(call)) { answer(*refused); }
#ifndef BRONZEHUB_DISPATCH_ENTRY_DISPATCH_HPP
#define BRONZEHUB_DISPATCH_ENTRY_DISPATCH_HPP

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>

#include "base/clock.hpp"
#include "base/refusal.hpp"
#include "base/strong_id.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::dispatch {

using call_id = std::uint64_t;

// A call that waits for a slot. Ids are chosen by the daemon and unique for
// its incarnation.
struct waiting_call {
    call_id id = 0;
    base::service_id service;
    base::organisation_id organisation;
    // Classes of requests whose costs are learnt apart, for example per model
    // parameter. 0 when there is only one.
    std::uint32_t kind = 0;
    // The caller's hint in cost units. Without one the learnt cost is used.
    std::optional<double> cost_hint = std::nullopt;
    base::time_point deadline = base::time_point::max();
    // Calls of the organisation and service that may wait at this daemon.
    std::size_t queue_limit = std::numeric_limits<std::size_t>::max();
};

// How a running call ended.
struct finished_call {
    base::call_outcome outcome = base::call_outcome::run;
    bool completed = true;  // False when the backend server failed.
    double cost = 0;        // Total cost units of the call.
    std::uint32_t output_units = 0;
    base::duration first_byte{};  // From the start to the first byte.
    base::duration total{};       // From the start to the end.
};

// Which host dispatches for a backend server.
struct dispatch_route {
    base::backend_server_id backend_server;
    base::service_id service;
    base::host_id host;
    base::failure_domain_id failure_domain;
};

struct entry_options {
    base::host_id host;
    base::failure_domain_id failure_domain;
    // How long a call avoids a backend server that failed it. For ever would
    // leave it waiting when every server has failed once and is back.
    base::duration exclusion = std::chrono::seconds(1);
    std::size_t waiting_per_organisation = 256;  // Per service.
    std::size_t waiting_in_all = 4096;
    base::duration usage_interval = std::chrono::milliseconds(500);
    base::duration complete_usage_interval = std::chrono::seconds(10);
    base::duration announcement_delay = std::chrono::milliseconds(20);
    base::duration inventory_interval = std::chrono::seconds(2);
    base::duration idle_inventory_interval = std::chrono::seconds(10);
    base::duration grant_lifetime = std::chrono::seconds(1);
    // Hosts that hear at once of a queue that was empty. The number doubles
    // with every announcement delay while the work still waits.
    std::size_t first_fan_out = 3;
    // False charges a call only when it ends. Measurements compare the two.
    bool charge_as_it_streams = true;
};

struct entry_hooks {
    std::function<void(const base::host_id&, protocol::body)> send;
    std::function<void(call_id, base::backend_server_id)> start;
    // A call that was submitted without refusal and will not start.
    std::function<void(call_id, base::refusal)> refuse;
};

// Not thread-safe; belongs to the decision thread. Hooks are called from
// within the functions below and may call back into the object.
class entry_dispatch {
public:
    entry_dispatch(entry_options options, base::clock clock, entry_hooks hooks);
    ~entry_dispatch();
    entry_dispatch(const entry_dispatch&) = delete;
    entry_dispatch& operator=(const entry_dispatch&) = delete;

    // Queues a call. Returns the refusal (outcome not_run) when the call can
    // not wait; the refuse hook is not called then. The start hook may run
    // before this function returns.
    std::optional<base::refusal> submit(const waiting_call& call);

    // Removes a waiting call. Returns false when it does not wait; a running
    // call ends with `finished`.
    bool cancel(call_id id);

    // Cost units that the running call has consumed so far. Lower values than
    // before are ignored.
    void progress(call_id id, double cost);

    // The running call ended; its slot is released.
    void finished(call_id id, const finished_call& end);

    // No byte of the call left this host. The slot is released as failed and
    // the call waits again at the head of its queue and avoids the same backend
    // server for the exclusion time. Refused as not_run when its deadline has
    // passed, unless the caller has the beginning of the response (`started`):
    // the deadline is for the start.
    void returned(call_id id, bool started = false);

    void on_grant(const protocol::sender& from,
                  const protocol::slot_grant& grant);

    // Replaces all routes. Hosts that gain a backend server receive the
    // inventory and announcements.
    void set_dispatchers(std::span<const dispatch_route> routes);

    // Backend servers whose grants are declined from now on.
    void set_leaving(std::span<const base::backend_server_id> leaving);

    // Refuses calls whose deadline has passed and sends what is due. Call it
    // at least every announcement delay.
    void tick();

    std::size_t waiting() const;
    std::size_t running() const;

    // State for the operators' state dump.
    nlohmann::json dump() const;

private:
    class implementation;
    std::unique_ptr<implementation> self_;
};

}  // namespace bronzehub::dispatch

#endif
