// Wires an entry daemon together: listeners, store, schedules, calls, signals.
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
#include "entry/http_listener.hpp"
#include "entry/line_writer.hpp"
#include "entry/share_exchange.hpp"
#include "logging/logging.hpp"
#include "metrics/metrics.hpp"

namespace bronzehub::entry {

// Not thread-safe; lives as long as the process.
class entry_node {
public:
    entry_node(entry_settings settings, std::string settings_path);

    // Opens the listeners. Errors as of `http_listener::listen`.
    absl::Status start();

    // Runs until the daemon was told to stop and has drained. Returns the exit
    // code.
    int run();

private:
    // Callers keep being sent here until the platform has asked twice, once a
    // second, whether this host is ready.
    static constexpr std::chrono::milliseconds serve_on_after_stop{3000};
    // Part of the descriptors that callers' idle connections may take. A crowd
    // of callers that connect anew for each request would otherwise use up all
    // of them within an idle timeout.
    static constexpr double idle_descriptor_share = 0.25;
    // Left of the grace period for what is still running when it ends.
    static constexpr std::chrono::milliseconds exit_margin{400};

    void listen_for_signals();
    void reload();
    void begin_drain();
    void check_drained();
    absl::Status open_datagrams();
    void receive_datagrams();
    void on_datagram(const std::string& from, std::string_view bytes);
    void send_datagram(const std::string& address, std::string_view bytes);
    void on_request(const std::shared_ptr<caller_connection>& caller,
                    caller_request request);
    // The response to a request that is refused before a call begins; nothing
    // for one that is let in out of turn.
    std::optional<std::string> refuse_early(const message_head& head);
    void on_caller_disconnected(caller_connection& caller);
    void on_operator_request(const std::shared_ptr<caller_connection>& caller,
                             const caller_request& request);
    void on_ready_request(const std::shared_ptr<caller_connection>& caller);
    bool is_ready() const;
    bool closes_connections() const;
    void tick();
    void refresh_figures();
    std::string dump();
    void log_shares();
    void log_summary();
    void housekeeping();

    entry_settings settings_;
    std::string settings_path_;
    std::string settings_text_;
    event_loop loop_;
    line_writer lines_;
    logging::logger log_;
    metrics::registry figures_;
    std::uint64_t incarnation_;
    fleet_state::backend_directory servers_;
    host_directory hosts_;
    engine_pool engines_;
    backend_pool pool_;
    backend_status status_;
    overload::retry_window retries_;
    overload::segment_demand heat_;
    overload::domain_reachability reach_;
    overload::share_meter shares_;
    overload::fleet_shares fleet_shares_;
    call_reporter reporter_;
    overload::host_load load_;
    overload::host_admission admission_;
    read_pacer pacer_;
    base::time_point last_tick_{};
    asio::ip::udp::socket datagrams_;
    std::array<char, 65536> datagram_buffer_{};
    schedule_link schedule_;
    share_exchange share_exchange_;
    fleet_watch fleet_;
    call_environment environment_;
    http_listener callers_;
    http_listener readiness_;
    http_listener operators_;
    asio::signal_set signals_;
    std::unordered_map<caller_connection*, std::shared_ptr<call>> calls_;
    bool stopping_ = false;
    bool was_ready_ = false;
    base::time_point stopping_since_{};
    std::uint64_t datagram_failures_ = 0;
    std::uint64_t malformed_datagrams_ = 0;
};

}  // namespace bronzehub::entry

#endif
