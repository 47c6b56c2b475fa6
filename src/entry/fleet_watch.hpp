// Keeps what the platform's store says: configuration, backend servers, other
// hosts. Each piece carries the time at which it was certainly up to date.
//
// One host of a failure domain reads and tells the others; `read_duty` decides
// which, and `knowledge_relay` carries what was read.
#ifndef BRONZEHUB_ENTRY_FLEET_WATCH_HPP
#define BRONZEHUB_ENTRY_FLEET_WATCH_HPP

#include <functional>
#include <string>
#include <vector>

#include "entry/host_directory.hpp"
#include "entry/knowledge_relay.hpp"
#include "entry/store_client.hpp"
#include "fleet_state/backend_servers.hpp"
#include "fleet_state/configuration.hpp"
#include "fleet_state/read_duty.hpp"
#include "fleet_state/store_clock.hpp"
#include "logging/logging.hpp"

namespace bronzehub::entry {

// Not thread-safe; must outlive the loop's run.
class fleet_watch {
public:
    // The store holds a watch for this long: below the age at which the next
    // host begins to read too. A silent connection is noticed within this and
    // the reply time.
    static constexpr std::chrono::milliseconds watch_wait{700};
    static constexpr std::chrono::milliseconds reply_timeout{900};
    // The reader lists servers this often, so that one that leaves gets
    // nothing new well within two seconds.
    static constexpr std::chrono::milliseconds listing_interval{600};
    static constexpr std::chrono::milliseconds first_pause{100};
    static constexpr std::chrono::milliseconds longest_pause{800};
    // Until the operators write the first configuration.
    static constexpr std::chrono::milliseconds absent_pause{300};
    // How often it is decided whether this host reads.
    static constexpr std::chrono::milliseconds decision_interval{100};

    fleet_watch(event_loop& loop, const std::string& store_address,
                fleet_state::backend_directory& servers, host_directory& hosts,
                datagram_sender send, std::uint64_t incarnation,
                logging::logger& log,
                std::function<void(std::string_view)> on_server_removed);

    void start();
    // Tells the other hosts that this one stops.
    void stop();

    // A datagram of another host, other than those of `schedule_link`.
    void on_message(const std::string& from, const schedule_message& message) {
        relay_.on_message(from, message);
    }

    const fleet_state::configuration_pointer& configuration() const {
        return configuration_;
    }
    // The configuration was the newest one at this time.
    base::time_point configuration_confirmed_at() const {
        return configuration_known_at_;
    }
    bool is_ready() const { return configuration_ && servers_.has_listing(); }

    struct statistics {
        std::uint64_t configuration_calls = 0;
        std::uint64_t server_calls = 0;
        std::uint64_t host_calls = 0;
        std::uint64_t failures = 0;
        std::uint64_t bad_rows = 0;
    };
    statistics read_statistics() const;

private:
    // A read that repeats, with pauses after failures.
    struct reading {
        bool in_progress = false;
        bool reachable = true;
        base::time_point next_at{};
        base::duration pause{first_pause};
    };

    void decide();
    bool is_due(const reading& which, base::time_point known_at) const;
    bool finish(reading& which, const char* what, const absl::Status& status);
    void read_configuration();
    void watch_configuration();
    void on_configuration_read(const platform_wire::rows_response& read,
                               base::time_point sent_at);
    void take_configuration(const std::vector<platform_wire::stored_row>& rows);
    void list_servers(const std::string& from);
    void on_servers(const platform_wire::rows_response& page,
                    base::time_point sent_at);
    void take_servers(const std::vector<fleet_state::backend_server>& listed,
                      base::time_point read_at);
    void log_changes(const std::vector<fleet_state::directory_change>& all);
    void exchange_hosts();
    void list_hosts();
    base::time_point read_time(const platform_wire::rows_response& read,
                               base::time_point sent_at);
    relay_hooks make_relay_hooks();

    event_loop& loop_;
    fleet_state::backend_directory& servers_;
    host_directory& hosts_;
    std::uint64_t incarnation_;
    logging::logger& log_;
    std::function<void(std::string_view)> on_server_removed_;
    store_client configuration_client_;
    store_client servers_client_;
    store_client hosts_client_;
    knowledge_relay relay_;
    fleet_state::store_clock clock_;
    fleet_state::reader_selection_options duty_;

    fleet_state::configuration_pointer configuration_;
    base::time_point configuration_known_at_{};
    std::uint64_t watched_version_ = 0;
    // Another host knows a newer one.
    bool configuration_outdated_ = false;
    reading configuration_reading_;

    std::vector<fleet_state::backend_server> listed_;
    reading servers_reading_;
    bool hosts_reachable_ = true;
    int hosts_rounds_ = 0;
    std::uint64_t bad_rows_ = 0;
};

}  // namespace bronzehub::entry

#endif
