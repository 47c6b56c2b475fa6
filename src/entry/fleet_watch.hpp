// Keeps a current copy of the platform's store: the configuration, the listing
// of backend servers, the evacuated failure domains and the other entry hosts.
// For the configuration and the listing it keeps the time at which they were
// last confirmed to be the newest.
//
// One host of each failure domain reads the store and sends the results to the
// others. `fleet_state::read_schedule` decides whether this host reads, and
// `knowledge_relay` distributes the results.
#ifndef BRONZEHUB_ENTRY_FLEET_WATCH_HPP
#define BRONZEHUB_ENTRY_FLEET_WATCH_HPP

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "entry/host_directory.hpp"
#include "entry/knowledge_relay.hpp"
#include "entry/store_client.hpp"
#include "evacuation/evacuation_monitor.hpp"
#include "fleet_state/backend_servers.hpp"
#include "fleet_state/configuration.hpp"
#include "fleet_state/read_schedule.hpp"
#include "fleet_state/store_clock.hpp"
#include "fleet_state/store_version.hpp"
#include "logging/logging.hpp"

namespace bronzehub::entry {

// Not thread-safe. Must live until the event loop has stopped.
class fleet_watch {
public:
    // A dead connection to the store is detected after this time, or after the
    // wait of a watch plus this time.
    static constexpr std::chrono::milliseconds reply_timeout{900};
    // Delay between reads while the operators have written no configuration.
    static constexpr std::chrono::milliseconds missing_configuration_delay{300};
    // Interval at which the host checks whether it has to read the store.
    static constexpr std::chrono::milliseconds due_check_interval{100};
    // Time for which a host waits for the table of hosts at its start before it
    // reads anything else: without the table it can't tell whether another
    // host reads for it.
    static constexpr std::chrono::milliseconds max_host_table_wait{600};
    // A host that has heard of a newer configuration waits this long for it to
    // be forwarded, then requests it, and reads the store after the second
    // time.
    static constexpr std::chrono::milliseconds forwarding_time{100};
    static constexpr std::chrono::milliseconds max_forwarding_time{600};
    // Delay after which a host repeats the datagrams that tell of its start, as
    // some may have been lost.
    static constexpr std::chrono::milliseconds second_hello_delay{6000};
    // Delay after a failed announcement. It doubles with each further failure,
    // up to the maximum.
    static constexpr std::chrono::milliseconds first_announce_retry{1000};
    static constexpr std::chrono::milliseconds max_announce_retry{8000};
    // Unusable registrations that are logged; more are only counted.
    static constexpr std::size_t max_logged_registrations = 64;

    // `on_server_removed` is called with the id of each backend server whose
    // instance is no longer listed.
    // `max_age` is the age at which store data must not be acted on any more.
    // `on_evacuation_change` is called when failure domains were evacuated or
    // taken back, and returns the number of waiting requests that it moved.
    fleet_watch(net::event_loop& loop, const std::string& store_address,
                base::duration max_age, fleet_state::backend_directory& servers,
                host_directory& hosts, datagram_sender send,
                std::uint64_t incarnation, logging::logger& log,
                std::function<void(std::string_view)> on_server_removed,
                std::function<std::size_t(const evacuation::set_change&)>
                    on_evacuation_change);

    // Starts announcing this host and reading the store.
    void start();
    // Tells the other hosts that this one stops.
    void stop();

    // Stops the use of a backend server that announced in a response that it is
    // about to stop, and tells the peers. Returns whether that was news.
    bool on_server_leaving(const fleet_state::backend_server& server);

    // Sets a function that is called with each complete listing of backend
    // servers and the time at which it was read, after it was applied.
    using listing_callback = std::function<void(
        std::span<const fleet_state::backend_server>, base::time_point)>;
    void on_listing_applied(listing_callback callback) {
        on_listing_applied_ = std::move(callback);
    }

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
    // Whether a configuration, a listing of backend servers and the evacuated
    // failure domains are known.
    bool is_ready() const {
        return configuration_ && servers_.has_listing() &&
               evacuated_domains().is_known();
    }
    // Newest era of the store that the store told this host.
    std::uint64_t store_era() const { return era_.newest(); }
    const evacuation::evacuated_domains& evacuated_domains() const {
        return evacuations_.domains();
    }

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
    void start_due_reads();
    // Requests or reads a configuration that is known to exist.
    void fetch_newer_configuration();
    // Records the result of a read; returns whether it succeeded.
    bool finish_read(fleet_state::store_data data, const absl::Status& status);
    // Reads the operators' table, beginning with this key.
    void read_configuration(const std::string& first_key = "");
    void on_operator_page(const platform_wire::rows_response& page,
                          base::time_point sent_at);
    void watch_configuration();
    void on_configuration_read(const platform_wire::rows_response& read,
                               base::time_point sent_at);
    // Returns whether the text is a configuration newer than the known one.
    bool apply_configuration(const std::string& text);
    void read_servers(const std::string& first_key);
    void on_server_page(const platform_wire::rows_response& page,
                        base::time_point sent_at);
    void apply_listing(const std::vector<fleet_state::backend_server>& listed,
                       base::time_point read_at);
    void log_changes(const std::vector<fleet_state::directory_change>& changes);
    bool mark_leaving(const fleet_state::backend_server& server,
                      std::string_view source);
    // Logs when reads of this kind of data begin to fail and when they succeed
    // again.
    void log_reachability(std::string_view data, const absl::Status& status);
    // Counts a registration that can't be used, and logs it if it is new.
    void on_bad_registration(const platform_wire::stored_row& row,
                             const absl::Status& cause);
    void announce_host();
    // Schedules the next announcement.
    void finish_announcement(bool succeeded);
    // Reads the table of hosts, beginning with this key.
    void read_hosts(const std::string& first_key);
    void on_host_page(const platform_wire::rows_response& page);
    void send_hello();
    // Returns the era of a response, and logs if it is not the one of the
    // response before.
    std::uint64_t observe_era(const platform_wire::rows_response& read);
    // Returns the local time at which a response of the store was certainly up
    // to date.
    base::time_point confirmation_time(const platform_wire::rows_response& read,
                                       base::time_point sent_at);
    relay_callbacks make_relay_callbacks();

    net::event_loop& loop_;
    fleet_state::backend_directory& servers_;
    host_directory& hosts_;
    std::uint64_t incarnation_;
    logging::logger& log_;
    std::function<void(std::string_view)> on_server_removed_;
    listing_callback on_listing_applied_;
    store_client configuration_client_;
    store_client servers_client_;
    store_client hosts_client_;
    knowledge_relay relay_;
    fleet_state::store_clock clock_;
    fleet_state::store_era era_;
    fleet_state::read_schedule schedule_;
    base::time_point started_at_{};

    evacuation::evacuation_monitor evacuations_;

    fleet_state::configuration_pointer configuration_;
    base::time_point configuration_confirmed_at_{};
    // Version of the table up to which changes are known; empty if the table
    // has to be read completely before it can be watched.
    std::optional<fleet_state::store_version> watched_;
    // Text of the configuration in the row that was last read.
    std::string configuration_text_;
    // When another host first told of a newer configuration.
    std::optional<base::time_point> outdated_since_;

    // The operators' table as far as it has been read, and when the read of its
    // first page was sent.
    platform_wire::rows_response operator_rows_;
    base::time_point operator_read_at_{};
    // Servers from the pages of the listing that is being read.
    std::vector<fleet_state::backend_server> listed_servers_;
    // Hosts from the pages of the table of hosts that is being read.
    std::vector<announced_host_message> listed_hosts_;
    // Whether the table of hosts has been read.
    bool hosts_known_ = false;
    bool stopping_ = false;
    base::duration announce_retry_{first_announce_retry};
    // Kinds of data whose last read failed.
    std::set<std::string_view> lost_;
    std::uint64_t bad_rows_ = 0;
    // Keys of the registrations of the listing being read that are unusable,
    // and of those that were logged as such.
    std::set<std::string> bad_registrations_;
    std::set<std::string> logged_registrations_;
};

}  // namespace bronzehub::entry

#endif
