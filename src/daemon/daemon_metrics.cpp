#include "daemon/daemon_metrics.hpp"

#include <array>
#include <chrono>

namespace bronzehub::daemon {
namespace {

double seconds(base::duration time) {
    return std::chrono::duration<double>(time).count();
}

double number(std::uint64_t value) {
    return static_cast<double>(value);
}

}  // namespace

void daemon_metrics::record(base::service_id service, base::duration first_byte,
                            base::duration total) {
    auto found = services_.find(service);
    if (found == services_.end()) {
        const metrics::labels labels{
            {"service", std::to_string(service.value())}};
        found = services_
                    .emplace(service,
                             service_times{
                                 registry_.add_distribution(
                                     "bronzehub_first_byte_seconds",
                                     "Start of a call on a backend server to "
                                     "the first byte of its response.",
                                     labels),
                                 registry_.add_distribution(
                                     "bronzehub_call_seconds",
                                     "Start of a call on a backend server to "
                                     "its end.",
                                     labels)})
                    .first;
    }
    found->second.first_byte.record(seconds(first_byte));
    found->second.total.record(seconds(total));
}

void daemon_metrics::set(std::string_view name, std::string_view help,
                         double value, const metrics::labels& with) {
    registry_.add_gauge(name, help, with).set(value);
}

void daemon_metrics::refresh(const metric_sources& from) {
    refresh_calls(from);
    refresh_control(from);
    refresh_peers(from.peers);
}

void daemon_metrics::refresh_calls(const metric_sources& from) {
    struct row {
        std::string_view result;
        std::uint64_t value;
    };
    const calls::call_counters& counts = from.calls.counters();
    const std::array results{
        row{"admitted", counts.admitted},
        row{"completed", counts.completed},
        row{"refused_early", from.refused_early},
        row{"refused_not_run", counts.refused_not_run},
        row{"refused_unknown", counts.refused_unknown},
        row{"retried", counts.retried},
        row{"resumed", counts.resumed},
        row{"replayed", counts.replayed},
        row{"cancelled", counts.cancelled},
        row{"late_result", counts.late_results},
        row{"aborted_stream", counts.aborted_streams},
    };
    for (const row& each : results) {
        set("bronzehub_calls", "Calls since the start, by what happened.",
            number(each.value), {{"event", std::string(each.result)}});
    }
    set("bronzehub_calls_active", "Calls that this daemon holds now.",
        number(from.calls.active()));
    set("bronzehub_buffered_bytes", "Bytes of request bodies held.",
        number(from.calls.buffered_bytes()));
    set("bronzehub_calls_waiting", "Calls that wait for a slot.",
        number(from.entry.waiting()));
    set("bronzehub_calls_running", "Calls that run on a backend server.",
        number(from.entry.running()));
}

void daemon_metrics::refresh_control(const metric_sources& from) {
    set("bronzehub_configuration_version", "Version in force.",
        number(from.sync.version()));
    set("bronzehub_configuration_rejected",
        "Configuration updates that were invalid or did not follow on.",
        number(from.sync.counters().invalid + from.sync.counters().gaps));
    set("bronzehub_configuration_source_failures",
        "Sources of the configuration that did not answer.",
        number(from.sync.counters().failed));
    const claims::claim_counters& claims = from.claims.counters();
    set("bronzehub_claims_open", "Idempotency claims in memory.",
        number(from.claims.size()));
    set("bronzehub_claim_transactions", "Transactions for claims.",
        number(claims.transactions));
    set("bronzehub_claim_lost_answers", "Claim writes whose response was lost.",
        number(claims.lost_answers));
    set("bronzehub_claims_unrecorded",
        "Responses that could not be recorded for their key.",
        number(claims.unrecorded));
    set("bronzehub_hosts_live", "Live hosts, this one included.",
        number(from.live_hosts));
    set("bronzehub_fairness_alarms",
        "Fairness alarms that last, among the services that this host "
        "dispatches.",
        static_cast<double>(from.fairness_alarms));
    for (const logging::level level :
         {logging::level::warning, logging::level::error}) {
        set("bronzehub_log_lines", "Log lines by level.",
            number(from.log.count(level)),
            {{"level", std::string(logging::to_string(level))}});
    }
}

void daemon_metrics::refresh_peers(const peer::counters& peers) {
    for (std::size_t type = 0; type < peer::message_types; ++type) {
        const metrics::labels labels{
            {"type", std::string(peer::message_type_name(type))}};
        set("bronzehub_peer_messages_sent", "Messages to peers by type.",
            number(peers.sent[type].messages.value()), labels);
        set("bronzehub_peer_bytes_sent", "Bytes of messages to peers by type.",
            number(peers.sent[type].bytes.value()), labels);
    }
    set("bronzehub_peer_socket_bytes_sent",
        "Bytes to peers with framing, for the control budget.",
        number(peers.socket_bytes_sent.value()));
    set("bronzehub_peer_socket_bytes_received",
        "Bytes from peers with framing, for the control budget.",
        number(peers.socket_bytes_received.value()));
    set("bronzehub_peer_connect_failures", "Connections that failed.",
        number(peers.connect_failures.value()));
    set("bronzehub_peer_authentication_failures",
        "Peers refused because of their key.",
        number(peers.authentication_failures.value()));
}

}  // namespace bronzehub::daemon
