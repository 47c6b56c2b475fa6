// Keeps what the platform's store says: configuration, backend servers, other
// hosts. Each piece carries the time at which it was certainly up to date.
#ifndef BRONZEHUB_ENTRY_FLEET_WATCH_HPP
#define BRONZEHUB_ENTRY_FLEET_WATCH_HPP

#include <functional>
#include <string>
#include <vector>

#include "entry/host_directory.hpp"
#include "entry/store_client.hpp"
#include "fleet_state/backend_servers.hpp"
#include "fleet_state/configuration.hpp"
#include "logging/logging.hpp"

namespace bronzehub::entry {

struct fleet_watch_hooks {
    std::function<void(const fleet_state::configuration_pointer&)>
        on_configuration;
    std::function<void(const std::vector<fleet_state::directory_change>&)>
        on_backend_servers;
};

// Not thread-safe; must outlive the loop's run.
class fleet_watch {
public:
    // The store holds a watch for this long. A silent connection is noticed
    // within this and the reply time, which leaves room in the time in which a
    // configuration must be in force.
    static constexpr std::chrono::milliseconds watch_wait{1000};
    static constexpr std::chrono::milliseconds reply_timeout{900};
    // Servers are listed this often, so that one that leaves gets nothing
    // within the drain bound of 2 s and more that deployments set.
    static constexpr std::chrono::milliseconds listing_interval{600};
    static constexpr std::chrono::milliseconds first_pause{100};
    static constexpr std::chrono::milliseconds longest_pause{800};

    fleet_watch(event_loop& loop, std::string store_address,
                fleet_state::backend_directory& servers, host_directory& hosts,
                std::uint64_t incarnation, logging::logger& log,
                fleet_watch_hooks hooks);

    void start();

    const fleet_state::configuration_pointer& configuration() const {
        return configuration_;
    }
    // The configuration was the newest one at this time.
    base::time_point configuration_known_at() const {
        return configuration_known_at_;
    }
    bool is_ready() const { return configuration_ && servers_.known(); }

    struct figures {
        std::uint64_t calls = 0;
        std::uint64_t failures = 0;
        std::uint64_t bad_rows = 0;
    };
    figures read() const;

private:
    void read_configuration();
    void watch_configuration();
    void on_configuration_rows(
        const std::vector<platform_wire::stored_row>& rows);
    void list_servers(const std::string& from);
    void on_servers(const platform_wire::rows_response& page);
    void exchange_hosts();
    void list_hosts();
    void note_reachable(const char* what, bool& reachable,
                        const absl::Status& status);
    base::duration pause_after_failure(base::duration& pause) const;

    event_loop& loop_;
    fleet_state::backend_directory& servers_;
    host_directory& hosts_;
    std::uint64_t incarnation_;
    logging::logger& log_;
    fleet_watch_hooks hooks_;
    store_client configuration_client_;
    store_client servers_client_;
    store_client hosts_client_;

    fleet_state::configuration_pointer configuration_;
    base::time_point configuration_known_at_{};
    std::uint64_t watched_version_ = 0;
    base::duration configuration_pause_{first_pause};
    bool configuration_reachable_ = true;

    std::vector<fleet_state::backend_server> listed_;
    base::time_point listing_began_{};
    base::duration servers_pause_{first_pause};
    bool servers_reachable_ = true;
    bool hosts_reachable_ = true;
    int hosts_rounds_ = 0;
    std::uint64_t bad_rows_ = 0;
};

}  // namespace bronzehub::entry

#endif
