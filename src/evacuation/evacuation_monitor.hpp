// Puts the evacuated failure domains into force on this host and logs each
// change.
//
// The owner reads the store and exchanges datagrams with other hosts; this
// class does no I/O.
//
// Load pattern: the store turns all hosts of a failure domain away while
// operators evacuate a domain, and datagrams to them are lost. Hosts that read
// the change themselves therefore announce it more than once, and no host
// repeats what it only heard of.
#ifndef BRONZEHUB_EVACUATION_EVACUATION_MONITOR_HPP
#define BRONZEHUB_EVACUATION_EVACUATION_MONITOR_HPP

#include <functional>
#include <optional>
#include <span>
#include <string_view>

#include "evacuation/evacuated_domains.hpp"
#include "logging/logging.hpp"

namespace bronzehub::evacuation {

struct monitor_hooks {
    // Called with what this host tells others, whenever that may have changed.
    std::function<void(const domain_report&)> on_report;
    // Puts the domains into force after a change. Returns the number of waiting
    // requests that were moved.
    std::function<std::size_t(const domain_set& domains, const set_change&)>
        on_change;
};

// Not thread-safe.
class evacuation_monitor {
public:
    // Times that a change is announced.
    static constexpr int announcements = 3;

    evacuation_monitor(base::clock clock, logging::logger& log,
                       monitor_hooks hooks);

    // Handles what this host read from the store up to `version`: the changes
    // after `base_version`, oldest first, or all rows if that is empty.
    void on_read(std::optional<fleet_state::store_version> base_version,
                 std::span<const domain_change> changes,
                 fleet_state::store_version version);
    // Handles what another host told.
    void on_peer_report(domain_report report);

    // Whether to announce the domains to the hosts of other failure domains
    // with this read; counts the announcement.
    bool take_announcement();

    const evacuated_domains& domains() const { return domains_; }

private:
    void apply(const set_change& change, std::string_view source);

    evacuated_domains domains_;
    logging::logger& log_;
    monitor_hooks hooks_;
    int announcements_left_ = 0;
};

}  // namespace bronzehub::evacuation

#endif
