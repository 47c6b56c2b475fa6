// Member functions of `entry_node` that show its state: metrics, dump and
// periodic log lines.
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "entry/entry_node.hpp"

namespace bronzehub::entry {
namespace {

using logging::field;

// Number of organisations whose refusals are logged in each interval.
constexpr std::size_t max_logged_organisations = 4;
// Logged for a number that is unknown or infinite.
constexpr double unknown_value = -1;

}  // namespace

void entry_node::update_metrics() {
    const auto set = [this](const char* name, const char* help, double value) {
        metrics_.add_gauge(name, help).set(value);
    };
    const auto store = fleet_watch_.read_statistics();
    const auto schedule = schedule_.read_statistics();
    const auto set_share_gauge = [this](const std::string& organisation,
                                        const char* what, double tokens) {
        metrics_
            .add_gauge("bronzehub_entry_share_tokens",
                       "Engine work by organisation since the start, in "
                       "tokens read and twice the tokens generated.",
                       {{"organisation", organisation}, {"what", what}})
            .set(tokens);
    };
    for (const auto& [organisation, counts] : share_meter_.totals()) {
        set_share_gauge(organisation, "asked", counts.requested);
        set_share_gauge(organisation, "granted", counts.granted);
        set_share_gauge(organisation, "refused_by_host",
                        counts.refused_by_host);
        set_share_gauge(organisation, "refused_by_engines",
                        counts.refused_by_engines);
    }
    set("bronzehub_entry_store_configuration_calls",
        "Calls to the store for the configuration.",
        static_cast<double>(store.configuration_calls));
    set("bronzehub_entry_store_server_calls",
        "Calls to the store for backend servers.",
        static_cast<double>(store.server_calls));
    set("bronzehub_entry_store_host_calls",
        "Calls to the store for entry hosts.",
        static_cast<double>(store.host_calls));
    set("bronzehub_entry_store_failures",
        "Calls to the store without a usable response.",
        static_cast<double>(store.failures));
    set("bronzehub_entry_bad_rows",
        "Rows of the store that could not be decoded.",
        static_cast<double>(store.bad_rows));
    set("bronzehub_entry_store_era",
        "Newest era of the store that the store told this host.",
        static_cast<double>(fleet_watch_.store_era()));
    set("bronzehub_entry_asks", "Slots on engines that were asked for.",
        static_cast<double>(schedule.requests));
    set("bronzehub_entry_owners_passed_over",
        "Slot requests that an owner did not answer in time.",
        static_cast<double>(schedule.owners_passed_over));
    set("bronzehub_entry_collectors_passed_over",
        "Collectors of shares that were replaced after a timeout.",
        static_cast<double>(
            share_exchange_.read_statistics().collectors_passed_over));
    set("bronzehub_entry_engine_running",
        "Requests on the engines that this host schedules for.",
        static_cast<double>(schedule.running));
    set("bronzehub_entry_engine_waiting",
        "Requests that wait for the engines that this host schedules for.",
        static_cast<double>(schedule.waiting));
    set("bronzehub_entry_cold_servers",
        "Backend servers that may have just started and get few requests.",
        static_cast<double>(count_cold_servers()));
    set("bronzehub_entry_paced_requests",
        "Slot requests that this host did not grant because the engine was "
        "cold.",
        static_cast<double>(schedule.paced_requests));
    set("bronzehub_entry_expired_grants",
        "Grants on cold engines that arrived too late to be used.",
        static_cast<double>(schedule.expired_grants));
    set("bronzehub_entry_connections_opened",
        "Connections opened to backend servers.",
        static_cast<double>(connection_pool_.opened_count()));
    set("bronzehub_entry_connections_reused",
        "Requests to backend servers on a reused connection.",
        static_cast<double>(connection_pool_.reused_count()));
    set("bronzehub_entry_liveness_probes",
        "Connections opened to find out whether a backend server has ended.",
        static_cast<double>(liveness_probe_.probe_count()));
    const auto quarantine = quarantine_.read_statistics();
    set("bronzehub_entry_suspect_segments",
        "Prompt segments under which an engine ended and no event came since.",
        static_cast<double>(quarantine.suspects));
    set("bronzehub_entry_quarantined_segments",
        "Prompt segments whose requests are refused because they end engines.",
        static_cast<double>(quarantine.quarantined));
    set("bronzehub_entry_segment_trials",
        "Requests that were sent alone because a segment is suspect.",
        static_cast<double>(quarantine.trials));
    set("bronzehub_entry_segment_crashes_reported",
        "Ends of engines that were reported as evidence against segments.",
        static_cast<double>(quarantine.crashes_reported));
    set("bronzehub_entry_segment_arbiters_passed_over",
        "Arbiters of prompt segments that were replaced after a timeout.",
        static_cast<double>(quarantine.arbiters_passed_over));
    set("bronzehub_entry_store_segment_calls",
        "Calls to the store for quarantined prompt segments.",
        static_cast<double>(quarantine_store_.calls()));
    set("bronzehub_entry_evacuated_domains",
        "Failure domains to which no requests are sent.",
        static_cast<double>(fleet_watch_.evacuated_domains().domains().size()));
    std::uint32_t evacuated_running = 0;
    for (const auto& [id, server] : servers_.all()) {
        if (servers_.is_evacuated(server)) {
            evacuated_running += backend_status_.find_or_create(id).in_flight;
        }
    }
    set("bronzehub_entry_evacuated_running",
        "Requests of this host that still run in evacuated failure domains.",
        evacuated_running);
    set("bronzehub_entry_evacuation_moves",
        "Requests that waited for an engine whose failure domain was "
        "evacuated.",
        static_cast<double>(evacuation_moves_));
    for (std::size_t i = 0; i < memory_budget::memory_cause_count; ++i) {
        const auto cause = static_cast<memory_budget::memory_cause>(i);
        const std::string name(memory_budget::to_string(cause));
        metrics_
            .add_gauge("bronzehub_entry_memory_held_bytes",
                       "Memory that callers make this host hold, by cause.",
                       {{"cause", name}})
            .set(static_cast<double>(memory_.held_bytes(cause)));
        metrics_
            .add_gauge("bronzehub_entry_memory_denied",
                       "Requests refused, or responses not read for a while, "
                       "because there was no memory.",
                       {{"cause", name}})
            .set(static_cast<double>(memory_.denied_count(cause)));
    }
    set("bronzehub_entry_memory_given_way",
        "Connections closed because others needed their memory.",
        static_cast<double>(memory_.given_way_count()));
    set("bronzehub_entry_descriptor_closures",
        "Connections of callers closed because descriptors were short.",
        static_cast<double>(caller_listener_.descriptor_closures()));
    set("bronzehub_entry_malformed_datagrams",
        "Datagrams that could not be decoded as a message of this version.",
        static_cast<double>(malformed_datagrams_));
    set("bronzehub_entry_log_lines_dropped",
        "Log lines dropped because the reader of the log was too slow.",
        static_cast<double>(log_writer_.dropped_count()));
    set("bronzehub_entry_configuration_age_seconds",
        "Time since the configuration was last confirmed as the newest.",
        std::chrono::duration<double>(loop_.now() -
                                      fleet_watch_.configuration_confirmed_at())
            .count());
}

std::string entry_node::dump_state() {
    const auto schedule = schedule_.read_statistics();
    const auto& evacuated = fleet_watch_.evacuated_domains();
    nlohmann::json result = {
        {"host", settings_.host.name},
        {"failure_domain", settings_.host.failure_domain},
        {"incarnation", incarnation_},
        {"ready", is_ready()},
        {"stopping", draining_},
        {"configuration_version", fleet_watch_.configuration()
                                      ? fleet_watch_.configuration()->version()
                                      : 0},
        {"hosts", hosts_.host_count()},
        {"calls", calls_.size()},
        {"schedules", schedule.schedulers},
        {"engine_running", schedule.running},
        {"engine_waiting", schedule.waiting},
        {"evacuated_domains", evacuated.domains()},
        {"unconfirmed_domains", evacuated.report().unconfirmed},
        {"evacuation_era", evacuated.version().era},
        {"evacuation_version", evacuated.version().version}};
    result["quarantined_segments"] = nlohmann::json::array();
    for (const overload::segment_id id : quarantine_.quarantined_segments()) {
        result["quarantined_segments"].push_back(encode_segment_key(id));
    }
    auto& memory = result["memory"];
    memory = {{"held_bytes", memory_.held_bytes()},
              {"given_way", memory_.given_way_count()}};
    if (memory_.is_limited()) {
        memory["limit_bytes"] = memory_.limits().total_bytes;
    }
    for (std::size_t i = 0; i < memory_budget::memory_cause_count; ++i) {
        const auto cause = static_cast<memory_budget::memory_cause>(i);
        const std::string name(memory_budget::to_string(cause));
        memory["held_by_cause"][name] = memory_.held_bytes(cause);
        memory["denied_by_cause"][name] = memory_.denied_count(cause);
    }
    for (const auto& [id, server] : servers_.all()) {
        result["backend_servers"][id] = {
            {"service", server.service},
            {"address", server.address},
            {"draining", server.state == fleet_state::backend_state::draining},
            {"health", capacity::to_string(
                           backend_status_.find_or_create(id).health.state())},
            {"cold", is_cold(server)},
            {"in_flight", backend_status_.find_or_create(id).in_flight}};
    }
    return result.dump();
}

void entry_node::log_refused_organisations() {
    const bool is_current = fleet_shares_.is_current();
    // JSON cannot represent infinity.
    const double fair_share =
        is_current && std::isfinite(fleet_shares_.fair_share())
            ? fleet_shares_.fair_share()
            : unknown_value;
    const double age_ms =
        is_current
            ? std::chrono::duration<double, std::milli>(fleet_shares_.age())
                  .count()
            : unknown_value;
    for (const auto& refused :
         share_meter_.take_most_refused(max_logged_organisations)) {
        log_.info(
            "organisation refused",
            {field("organisation", refused.organisation),
             field("asked", refused.counts.requested),
             field("granted", refused.counts.granted),
             field("refused_by_host", refused.counts.refused_by_host),
             field("refused_by_engines", refused.counts.refused_by_engines),
             field("refused_share", host_load_.refusal_ratio()),
             field("fleet_asked",
                   fleet_shares_.requested(refused.organisation)),
             field("fleet_granted",
                   fleet_shares_.granted(refused.organisation)),
             field("fleet_level", fair_share), field("fleet_age_ms", age_ms)});
    }
}

void entry_node::log_cold_servers() {
    const std::size_t cold = count_cold_servers();
    if (cold != std::exchange(logged_cold_servers_, cold)) {
        const auto schedule = schedule_.read_statistics();
        log_.info("cold servers",
                  {field("cold", cold), field("known", servers_.all().size()),
                   field("paced", schedule.paced_requests),
                   field("expired", schedule.expired_grants)});
    }
}

void entry_node::log_summary() {
    call_reporter_.log_omitted_count();
    const auto store = fleet_watch_.read_statistics();
    const auto schedule = schedule_.read_statistics();
    log_.info(
        "summary",
        {field("calls", calls_.size()),
         field("delivered", call_reporter_.count(call_outcome::delivered)),
         field("refused", call_reporter_.count(call_outcome::refused)),
         field("rejected", call_reporter_.count(call_outcome::rejected)),
         field("failed", call_reporter_.count(call_outcome::failed)),
         field("abandoned", call_reporter_.count(call_outcome::abandoned)),
         field("connections", caller_listener_.connection_count()),
         field("connections_unwatched",
               caller_listener_.registration_failures()),
         field("hosts", hosts_.host_count()),
         field("reader_rank", hosts_.reader_rank()),
         field("store_configuration_calls", store.configuration_calls),
         field("store_server_calls", store.server_calls),
         field("store_host_calls", store.host_calls),
         field("store_failures", store.failures),
         field("asks", schedule.requests),
         field("owners_passed_over", schedule.owners_passed_over),
         field("lateness_ms", host_load_.lateness()),
         field("memory_held_bytes", memory_.held_bytes()),
         field("memory_given_way", memory_.given_way_count()),
         field("descriptor_closures", caller_listener_.descriptor_closures()),
         field("lines_dropped", log_writer_.dropped_count())});
}

}  // namespace bronzehub::entry
