#include "settings/settings_table.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <type_traits>

#include "absl/strings/str_cat.h"

namespace bronzehub::settings {
namespace {

using nlohmann::json;

constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = 1024 * kibibyte;
constexpr std::int64_t gibibyte = 1024 * mebibyte;
constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t hour_ms = 60 * minute_ms;

void assign(std::string& field, const json& value) {
    field = value.get<std::string>();
}

void assign(std::chrono::milliseconds& field, const json& value) {
    field = std::chrono::milliseconds(value.get<std::int64_t>());
}

void assign(log_level& field, const json& value) {
    const auto text = value.get<std::string>();
    for (const log_level level :
         {log_level::trace, log_level::debug, log_level::info,
          log_level::warning, log_level::error}) {
        if (text == to_string(level)) {
            field = level;
        }
    }
}

template <class Number>
    requires std::is_integral_v<Number>
void assign(Number& field, const json& value) {
    field = value.get<Number>();
}

// Writes a value to `Member` of the settings group `Group`.
template <auto Group, auto Member>
void store(daemon_settings& settings, const json& value) {
    assign(settings.*Group.*Member, value);
}

// Writes a value to `Member` of the seed that `add_seed` appended last.
template <auto Member>
void store_seed(daemon_settings& settings, const json& value) {
    assign(settings.peers.seeds.back().*Member, value);
}

void add_seed(daemon_settings& settings, const json& /*value*/) {
    settings.peers.seeds.emplace_back();
}

void store_initial_configuration(daemon_settings& settings, const json& value) {
    settings.initial_configuration = value.dump();
}

using settings_type = daemon_settings;
using kind = value_kind;

constexpr auto host = &settings_type::host;
constexpr auto listeners = &settings_type::listeners;
constexpr auto peers = &settings_type::peers;
constexpr auto platform = &settings_type::platform;
constexpr auto threads = &settings_type::threads;
constexpr auto limits = &settings_type::limits;
constexpr auto log = &settings_type::log;
constexpr auto drain = &settings_type::drain;

constexpr setting_row required_row(std::string_view key, kind type,
                                   std::string_view description,
                                   void (*store_value)(daemon_settings&,
                                                       const json&)) {
    return {key, type, "", std::nullopt, true, 0, 0, description, store_value};
}

constexpr setting_row optional_row(std::string_view key, kind type,
                                   std::string_view description,
                                   void (*store_value)(daemon_settings&,
                                                       const json&)) {
    return {key, type, "", std::nullopt, false, 0, 0, description, store_value};
}

struct range {
    std::int64_t minimum;
    std::int64_t maximum;
};

constexpr setting_row duration_row(std::string_view key,
                                   std::string_view default_json, range allowed,
                                   std::string_view description,
                                   void (*store_value)(daemon_settings&,
                                                       const json&)) {
    return {key,
            kind::duration,
            "ms",
            default_json,
            false,
            allowed.minimum,
            allowed.maximum,
            description,
            store_value};
}

constexpr setting_row number_row(std::string_view key, std::string_view unit,
                                 std::string_view default_json, range allowed,
                                 std::string_view description,
                                 void (*store_value)(daemon_settings&,
                                                     const json&)) {
    return {key,
            kind::number,
            unit,
            default_json,
            false,
            allowed.minimum,
            allowed.maximum,
            description,
            store_value};
}

// The default of limits.buffered_bytes holds 128 bodies of 1 MiB. Together with
// the 64 MB that a daemon may use for everything else, this fits into the
// memory of current entry hosts.
constexpr std::array table{
    required_row("host.name", kind::name,
                 "Name of this host, unique in the fleet.",
                 store<host, &host_settings::name>),
    required_row(
        "host.failure_domain", kind::name,
        "Failure domain of this host; it dispatches for backend servers "
        "of the same domain.",
        store<host, &host_settings::failure_domain>),
    required_row("host.region", kind::name, "Region of the failure domain.",
                 store<host, &host_settings::region>),

    required_row("listeners.callers", kind::address,
                 "Address on which callers' requests arrive.",
                 store<listeners, &listener_settings::callers>),
    required_row("listeners.operators", kind::address,
                 "Address of /admin/v1, /metrics, /ready, /live and /dump.",
                 store<listeners, &listener_settings::operators>),
    required_row("listeners.peers", kind::address,
                 "Address on which other daemons connect.",
                 store<listeners, &listener_settings::peers>),
    optional_row(
        "listeners.peers_advertised", kind::address,
        "Address announced to other daemons; the value of "
        "listeners.peers when absent. Required when that is a wildcard "
        "address.",
        store<listeners, &listener_settings::peers_advertised>),

    setting_row{"peers.seeds", kind::list, "", "[]", false, 0, 64,
                "Daemons to contact at start, in addition to the host list. "
                "The daemon's own entry is skipped, so one list can serve "
                "every host.",
                add_seed},
    required_row("peers.seeds[].host", kind::name, "Name of the seed's host.",
                 store_seed<&seed_peer::host>),
    required_row("peers.seeds[].address", kind::address,
                 "Address of the seed's peer listener.",
                 store_seed<&seed_peer::address>),
    setting_row{"peers.shared_key", kind::secret, "", std::nullopt, false, 16,
                1024,
                "Key that authenticates daemons to each other. Exactly one of "
                "this and peers.shared_key_variable is given.",
                store<peers, &peer_settings::shared_key>},
    optional_row("peers.shared_key_variable", kind::environment_variable,
                 "Name of the environment variable that holds the key.",
                 store<peers, &peer_settings::shared_key_variable>),
    duration_row("peers.connect_timeout_ms", "1000", {10, minute_ms},
                 "Time to connect to another daemon and authenticate.",
                 store<peers, &peer_settings::connect_timeout>),
    number_row("peers.maximum_message_bytes", "bytes", "16777216",
               {64 * kibibyte, gibibyte},
               "Largest message accepted from another daemon; a configuration "
               "snapshot must fit.",
               store<peers, &peer_settings::maximum_message_bytes>),

    required_row("platform.table", kind::url, "Base URL of the table service.",
                 store<platform, &platform_settings::table>),
    required_row("platform.object_store", kind::url,
                 "Base URL of the object store.",
                 store<platform, &platform_settings::object_store>),
    required_row("platform.host_list", kind::url, "Base URL of the host list.",
                 store<platform, &platform_settings::host_list>),
    duration_row("platform.connect_timeout_ms", "500", {10, minute_ms},
                 "Time to connect to a platform service.",
                 store<platform, &platform_settings::connect_timeout>),
    duration_row("platform.request_timeout_ms", "2000", {50, minute_ms},
                 "Time for one request to a platform service, connecting "
                 "included.",
                 store<platform, &platform_settings::request_timeout>),
    duration_row(
        "platform.host_list_interval_ms", "1000", {100, minute_ms},
        "Interval between reads of the host list. A backend server that "
        "is listed as leaving must get no work after 3 s.",
        store<platform, &platform_settings::host_list_interval>),
    duration_row(
        "platform.configuration_poll_interval_ms", "1000", {100, minute_ms},
        "Interval at which one daemon of each failure domain reads the "
        "configuration head.",
        store<platform, &platform_settings::configuration_poll_interval>),

    number_row("threads.workers", "threads", "2", {1, 64},
               "Threads for input and output, in addition to the decision "
               "thread.",
               store<threads, &thread_settings::workers>),

    number_row("limits.header_bytes", "bytes", "32768", {kibibyte, mebibyte},
               "Largest header block of a request.",
               store<limits, &limit_settings::header_bytes>),
    number_row("limits.body_bytes", "bytes", "1048576", {kibibyte, gibibyte},
               "Largest request body.",
               store<limits, &limit_settings::body_bytes>),
    number_row("limits.answer_bytes", "bytes", "4194304", {kibibyte, gibibyte},
               "Largest response that is held until it is complete. A larger "
               "one is passed through as it arrives and is not recorded for "
               "its idempotency key.",
               store<limits, &limit_settings::answer_bytes>),
    number_row("limits.buffered_bytes", "bytes", "134217728",
               {mebibyte, 64 * gibibyte},
               "Bodies and responses held at the same time, in all.",
               store<limits, &limit_settings::buffered_bytes>),
    number_row("limits.caller_connections", "connections", "16384",
               {1, 1'000'000}, "Callers' connections open at the same time.",
               store<limits, &limit_settings::caller_connections>),
    number_row("limits.waiting_calls", "calls", "8192", {1, 1'000'000},
               "Calls that wait at this daemon, in all.",
               store<limits, &limit_settings::waiting_calls>),
    number_row(
        "limits.waiting_calls_per_organisation_and_service", "calls", "1024",
        {1, 1'000'000},
        "Calls of one organisation that wait for one service at this "
        "daemon.",
        store<limits,
              &limit_settings::waiting_calls_per_organisation_and_service>),
    duration_row("limits.read_timeout_ms", "30000", {100, 10 * minute_ms},
                 "Time for a caller to send the whole request.",
                 store<limits, &limit_settings::read_timeout>),
    duration_row("limits.write_timeout_ms", "60000", {100, hour_ms},
                 "Time for which a caller may accept no bytes of its response.",
                 store<limits, &limit_settings::write_timeout>),
    duration_row("limits.idle_timeout_ms", "60000", {100, hour_ms},
                 "Time for which a caller's connection may stay without a "
                 "request.",
                 store<limits, &limit_settings::idle_timeout>),

    setting_row{"log.level", kind::log_level, "", "\"info\"", false, 0, 0,
                "Least severe lines that are logged. Logs go to standard "
                "error.",
                store<log, &log_settings::level>},

    duration_row("drain.not_ready_delay_ms", "2000", {0, 10 * minute_ms},
                 "Time between reporting not ready and refusing new calls, so "
                 "that the balancer stops sending first.",
                 store<drain, &drain_settings::not_ready_delay>),
    duration_row("drain.force_window_ms", "10000", {1000, 10 * minute_ms},
                 "A third SIGTERM forces the exit when it follows the second "
                 "within this time.",
                 store<drain, &drain_settings::force_window>),

    optional_row("initial_configuration", kind::object,
                 "Fleet configuration that is written as version 1 when the "
                 "platform's table holds none.",
                 store_initial_configuration),
};

std::string type_name(const setting_row& row) {
    switch (row.kind) {
        case kind::number:
        case kind::duration:
            return "integer";
        case kind::list:
            return "list of objects";
        case kind::object:
            return "object";
        default:
            return "text";
    }
}

std::string describe_default(const setting_row& row) {
    if (row.required) {
        return "required";
    }
    return row.default_json
               ? absl::StrCat("`", std::string(*row.default_json), "`")
               : "absent";
}

}  // namespace

std::span<const setting_row> settings_table() {
    return table;
}

std::string describe_expected(const setting_row& row) {
    switch (row.kind) {
        case kind::name:
            return "1 to 63 characters of a-z, 0-9, '-', '.' and '_'";
        case kind::environment_variable:
            return "a name of letters, digits and '_', not starting with a "
                   "digit";
        case kind::secret:
            return absl::StrCat("text of ", row.minimum, " to ", row.maximum,
                                " characters");
        case kind::address:
            return "IP:port, for example 10.0.0.1:8080 or [::1]:8080";
        case kind::url:
            return "http:// or https:// URL with a host";
        case kind::number:
        case kind::duration:
            return absl::StrCat(
                "integer from ", row.minimum, " to ", row.maximum,
                row.unit.empty() ? ""
                                 : absl::StrCat(" ", std::string(row.unit)));
        case kind::log_level:
            return "one of trace, debug, info, warning, error";
        case kind::list:
            return absl::StrCat("list of at most ", row.maximum, " objects");
        case kind::object:
            return "JSON object";
    }
    return "";
}

std::string generate_reference_page() {
    std::string page =
        "# Settings of bronzehubd\n\n"
        "This page is generated from `src/settings/settings_table.cpp` by "
        "`build/src/settings/settings_reference > docs/settings.md`.\n\n"
        "A settings file is JSON; `//` and `/* */` comments are allowed. Keys "
        "are nested: `host.name` is the key `name` of the object `host`, and "
        "`[]` stands for each element of a list. `bronzehub check-settings "
        "FILE` reports every fault of a file. `examples/bronzehubd.json` is "
        "a complete example.\n\n"
        "| key | type | unit | default | range | meaning |\n"
        "| --- | --- | --- | --- | --- | --- |\n";
    for (const setting_row& row : table) {
        absl::StrAppend(&page, "| `", std::string(row.key), "` | ",
                        type_name(row), " | ", std::string(row.unit), " | ",
                        describe_default(row), " | ", describe_expected(row),
                        " | ", std::string(row.description), " |\n");
    }
    return page;
}

}  // namespace bronzehub::settings
