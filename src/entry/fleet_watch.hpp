// Keeps a current copy of the platform's store: the configuration, the listing
// of backend servers and the other entry hosts. For the configuration and the
// listing it keeps the time at which they were last confirmed to be the newest.
//
// One host of each failure domain reads the store and sends the results to the
// others. `fleet_state::should_read` decides whether this host reads, and
// `knowledge_relay` distributes the results.
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

// Not thread-safe. Must live until the event loop has stopped.
class fleet_watch {
public:
    // Time for which the store holds a watch request open. It is less than the
    // age of the configuration at which the next host starts to read as well. A
    // dead connection is detected after this time plus `reply_timeout`.
    static constexpr std::chrono::milliseconds watch_wait{700};
    static constexpr std::chrono::milliseconds reply_timeout{900};
    // Interval at which the reading host lists the backend servers. It is short
    // enough that a removed server gets no new calls after well under two
    // seconds.
    static constexpr std::chrono::milliseconds listing_interval{600};
    // Delay after a failed read. It doubles with each further failure, up to
    // the maximum.
    static constexpr std::chrono::milliseconds initial_backoff{100};
    static constexpr std::chrono::milliseconds max_backoff{800};
    // Delay between reads while the operators have written no configuration.
    static constexpr std::chrono::milliseconds missing_configuration_delay{300};
    // Interval at which the host checks whether it has to read the store.
    static constexpr std::chrono::milliseconds due_check_interval{100};

    // `on_server_removed` is called with the id of each backend server that is
    // no longer listed.
    fleet_watch(event_loop& loop, const std::string& store_address,
                fleet_state::backend_directory& servers, host_directory& hosts,
                datagram_sender send, std::uint64_t incarnation,
                logging::logger& log,
                std::function<void(std::string_view)> on_server_removed);

    // Starts announcing this host and reading the store.
    void start();
    // Tells the other hosts that this one stops.
    void stop();

    // Handles the messages of `knowledge_relay`; ignores others.
    void on_message(const std::string& from, const host_message& message) {
        relay_.on_message(from, message);
    }

    // The newest configuration, null until one has been read.
    const fleet_state::configuration_pointer& configuration() const {
        return configuration_;
    }
    // Last time at which the configuration was confirmed to be the newest.
    base::time_point configuration_confirmed_at() const {
        return configuration_confirmed_at_;
    }
    // Whether a configuration and a listing of backend servers are known.
    bool is_ready() const { return configuration_ && servers_.has_listing(); }

    struct statistics {
        // Calls to the store by kind, and those of them that failed.
        std::uint64_t configuration_calls = 0;
        std::uint64_t server_calls = 0;
        std::uint64_t host_calls = 0;
        std::uint64_t failures = 0;
        // Rows that could not be decoded.
        std::uint64_t bad_rows = 0;
    };
    statistics read_statistics() const;

private:
    // State of a read that is repeated, with a backoff after failures.
    struct poll_state {
        bool in_progress = false;
        bool reachable = true;
        base::time_point next_at{};
        base::duration backoff{initial_backoff};
    };

    void start_due_reads();
    bool is_due(const poll_state& poll, base::time_point confirmed_at) const;
    // Records the result of a read; returns whether it succeeded.
    bool finish_read(poll_state& poll, const char* what,
                     const absl::Status& status);
    void read_configuration();
    void watch_configuration();
    void on_configuration_read(const platform_wire::rows_response& read,
                               base::time_point sent_at);
    void apply_configuration(
        const std::vector<platform_wire::stored_row>& rows);
    void read_servers(const std::string& first_key);
    void on_server_page(const platform_wire::rows_response& page,
                        base::time_point sent_at);
    void apply_listing(const std::vector<fleet_state::backend_server>& listed,
                       base::time_point read_at);
    void log_changes(const std::vector<fleet_state::directory_change>& changes);
    void announce_host();
    void read_hosts();
    // Returns the local time at which a response of the store was certainly up
    // to date.
    base::time_point confirmation_time(const platform_wire::rows_response& read,
                                       base::time_point sent_at);
    relay_callbacks make_relay_callbacks();

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
    fleet_state::reader_selection_options reader_selection_;

    fleet_state::configuration_pointer configuration_;
    base::time_point configuration_confirmed_at_{};
    // Version of the table up to which changes are known; 0 if the table has to
    // be read completely before it can be watched.
    std::uint64_t watched_version_ = 0;
    // Whether another host has reported a newer configuration.
    bool configuration_outdated_ = false;
    poll_state configuration_poll_;

    // Servers from the pages of the listing that is being read.
    std::vector<fleet_state::backend_server> listed_servers_;
    poll_state servers_poll_;
    // Whether the last read of the table of hosts succeeded.
    bool hosts_reachable_ = true;
    int announcement_count_ = 0;
    std::uint64_t bad_rows_ = 0;
};

}  // namespace bronzehub::entry

#endif
