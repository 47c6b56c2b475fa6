// The figures that a daemon exposes for scraping.
#ifndef BRONZEHUB_DAEMON_DAEMON_METRICS_HPP
#define BRONZEHUB_DAEMON_DAEMON_METRICS_HPP

#include <map>
#include <string>

#include "base/strong_id.hpp"
#include "calls/call_manager.hpp"
#include "claims/claim_registry.hpp"
#include "configuration/configuration_sync.hpp"
#include "dispatch/entry_dispatch.hpp"
#include "logging/logging.hpp"
#include "metrics/metrics.hpp"
#include "peer/counters.hpp"

namespace bronzehub::daemon {

// What the deciding objects count, read on the decision thread.
struct metric_sources {
    const calls::call_manager& calls;
    const dispatch::entry_dispatch& entry;
    const claims::claim_registry& claims;
    const configuration::configuration_sync& sync;
    const peer::counters& peers;
    const logging::logger& log;
    std::uint64_t refused_early = 0;  // Before a request became a call.
    std::size_t live_hosts = 0;
    std::int64_t fairness_alarms = 0;
};

// Belongs to the decision thread, except `text`, which any thread may call.
class daemon_metrics {
public:
    // A call of the service ended after this time to the first byte and in
    // all.
    void record(base::service_id service, base::duration first_byte,
                base::duration total);

    // Copies the present values.
    void refresh(const metric_sources& from);

    // The Prometheus text format.
    std::string text() const { return registry_.to_prometheus_text(); }

private:
    struct service_times {
        metrics::distribution& first_byte;
        metrics::distribution& total;
    };

    void set(std::string_view name, std::string_view help, double value,
             const metrics::labels& with = {});
    void refresh_calls(const metric_sources& from);
    void refresh_control(const metric_sources& from);
    void refresh_peers(const peer::counters& peers);

    metrics::registry registry_;
    std::map<base::service_id, service_times> services_;
};

}  // namespace bronzehub::daemon

#endif
