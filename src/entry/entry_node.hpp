// The components of an entry daemon and their connections: listeners, store,
// schedules, calls and signals.
#ifndef BRONZEHUB_ENTRY_ENTRY_NODE_HPP
#define BRONZEHUB_ENTRY_ENTRY_NODE_HPP

#include <array>
#include <asio/ip/udp.hpp>
#include <asio/signal_set.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "absl/status/status.h"
#include "entry/call.hpp"
#include "entry/entry_settings.hpp"
#include "entry/fleet_watch.hpp"
#include "entry/line_writer.hpp"
#include "entry/quarantine_store.hpp"
#include "entry/share_exchange.hpp"
#include "logging/logging.hpp"
#include "metrics/metrics.hpp"
#include "net/http_listener.hpp"

namespace bronzehub::entry {

// Not thread-safe. Exists for the whole lifetime of the process.
class entry_node {
public:
    entry_node(entry_settings settings, std::string settings_path);

    // Opens the listeners and starts all periodic work. Errors: those of
    // `http_listener::listen`.
    absl::Status start();

    // Runs until the daemon has received a stop signal and has drained. Returns
    // the exit code of the process.
    int run();

private:
    // Time after a stop signal for which new requests are still served. The
    // platform polls the readiness once a second and routes callers to this
    // host until two polls have found it not ready.
    static constexpr std::chrono::milliseconds serve_after_stop{3000};
    // If callers' connections take more than this ratio of the file
    // descriptors, each is closed after its response. Otherwise many callers
    // that open a connection for each request could exhaust the descriptors
    // within one idle timeout.
    static constexpr double keep_alive_descriptor_ratio = 0.25;
    // Part of the grace period that is reserved for ending the calls that are
    // left and for exiting, and the part of it for exiting alone.
    static constexpr std::chrono::milliseconds end_reserve{600};
    static constexpr std::chrono::milliseconds exit_reserve{400};

    quarantine_hooks make_quarantine_hooks();
    // Reserves descriptors for what is not a caller.
    void set_descriptor_limits();
    // Returns the number of waiting requests that were moved.
    std::size_t on_evacuation_change(const evacuation::set_change& change);
    // Returns the terms of an engine for `schedule_link::set_cold_terms`.
    std::optional<cold_start::engine_terms> find_cold_terms(
        std::string_view engine) const;
    bool is_cold(const fleet_state::backend_server& server) const;
    // Number of listed servers that may be cold.
    std::size_t count_cold_servers() const;
    void log_cold_servers();
    void listen_for_signals();
    // Applies the settings file if its text has changed.
    void reload_settings();
    void begin_drain();
    // Time from now to the moment at which calls that are left are ended.
    base::duration time_to_stop() const;
    // Stops the loop when no call is left or the grace period is nearly over.
    void check_drained();
    void stop();
    absl::Status open_peer_socket();
    void receive_datagrams();
    void on_datagram(const std::string& sender_address, std::string_view bytes);
    void send_datagram(const std::string& address, std::string_view bytes);
    void on_request(const std::shared_ptr<net::caller_connection>& caller,
                    net::caller_request request);
    // Returns the encoded response to a request that is refused before a call
    // is created, or nothing if the request is exempt from the refusal.
    std::optional<std::string> make_early_refusal(
        const net::message_head& head);
    // Returns the encoded response to a request for which the host has no
    // memory.
    std::string make_memory_refusal(const net::message_head& head);
    // Encodes and reports the refusal of a request before a call is created.
    std::string encode_early_refusal(const net::message_head& head,
                                     std::string_view cause,
                                     base::duration retry_after);
    void on_caller_disconnected(net::caller_connection& caller);
    void on_operator_request(
        const std::shared_ptr<net::caller_connection>& caller,
        const net::caller_request& request);
    void on_readiness_request(
        const std::shared_ptr<net::caller_connection>& caller);
    bool is_ready() const;
    // Whether connections of callers are closed after the current response.
    bool closes_connections() const;
    // Runs at each sampling interval of the host load: samples the lateness of
    // the event loop, and runs the due work of the schedules and the read
    // pacer.
    void tick();
    // Sets the gauges that are only computed when the metrics are read.
    void update_metrics();
    // Returns the state of this host as JSON, for operators.
    std::string dump_state();
    // Logs the organisations with the most refused work since the last call.
    void log_refused_organisations();
    void log_summary();
    // Removes expired state and logs changes of the readiness.
    void run_maintenance();

    entry_settings settings_;
    std::string settings_path_;
    // Text of the settings file when it was last read.
    std::string settings_text_;
    net::event_loop loop_;
    line_writer log_writer_;
    logging::logger log_;
    metrics::registry metrics_;
    // Random number that tells this process from earlier ones of this host.
    std::uint64_t incarnation_;
    fleet_state::backend_directory servers_;
    memory_budget::memory_account memory_;
    host_directory hosts_;
    engine_pool engines_;
    backend_pool connection_pool_;
    backend_status backend_status_;
    cold_start::warmth warmth_;
    overload::retry_window retry_window_;
    overload::segment_demand segment_demand_;
    overload::domain_reachability reachability_;
    liveness_probe liveness_probe_;
    overload::share_meter share_meter_;
    overload::completion_estimate completion_estimate_;
    overload::output_usage output_usage_;
    hedging::second_attempt_policy hedging_;
    overload::fleet_shares fleet_shares_;
    call_reporter call_reporter_;
    overload::host_load host_load_;
    overload::host_admission admission_;
    read_pacer read_pacer_;
    base::time_point last_tick_{};
    // Sends and receives the datagrams between hosts.
    asio::ip::udp::socket peer_socket_;
    std::array<char, 65536> datagram_buffer_{};
    schedule_link schedule_;
    share_exchange share_exchange_;
    fleet_watch fleet_watch_;
    quarantine_store quarantine_store_;
    quarantine_link quarantine_;
    call_environment call_environment_;
    net::http_listener caller_listener_;
    net::http_listener readiness_listener_;
    net::http_listener operator_listener_;
    asio::signal_set signals_;
    std::unordered_map<net::caller_connection*, std::shared_ptr<call>> calls_;
    bool draining_ = false;
    // The calls that were left near the end of the grace period were ended.
    bool calls_ended_ = false;
    bool was_ready_ = false;
    // Number of cold servers in the last log line.
    std::size_t logged_cold_servers_ = 0;
    base::time_point drain_started_at_{};
    std::uint64_t datagram_send_failures_ = 0;
    // Requests that waited for an engine in a failure domain when the domain
    // was evacuated.
    std::uint64_t evacuation_moves_ = 0;
    std::uint64_t malformed_datagrams_ = 0;
};

}  // namespace bronzehub::entry

#endif
