// The settings of one daemon process.
//
// A settings file is JSON with comments. `load_settings` checks the name, type
// and range of every key and the consistency of keys that depend on each other,
// and reports all errors of the file at once.
//
// Settings are read once, when the daemon starts. They do not contain the
// configuration of the fleet (organisations, services and backend servers),
// which is changed through plans while the fleet runs.
//
// The members of the structs are named after the keys of the file, without the
// unit suffix `_ms`. `settings_table.hpp` lists every key with its description;
// docs/settings.md is generated from that table.
#ifndef BRONZEHUB_SETTINGS_SETTINGS_HPP
#define BRONZEHUB_SETTINGS_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/strong_id.hpp"

namespace bronzehub::settings {

// Identity and location of the host that this daemon runs on.
struct host_settings {
    base::host_id name;
    base::failure_domain_id failure_domain;
    std::string region;
};

// Listening addresses as IP:port, with an IPv6 address in brackets.
struct listener_settings {
    std::string callers;
    std::string operators;
    std::string peers;
    // The address that other daemons connect to. `load_settings` sets it to
    // `peers` when the file does not contain it.
    std::string peers_advertised;
};

// A daemon that this one contacts at start.
struct seed_peer {
    base::host_id host;
    std::string address;
};

struct peer_settings {
    std::vector<seed_peer> seeds;
    // The key with which daemons authenticate to each other, from the file or
    // from the environment variable. It must never be logged.
    std::string shared_key;
    // Name of the environment variable that holds the key; empty when the file
    // contains the key itself.
    std::string shared_key_variable;
    std::chrono::milliseconds connect_timeout{};
    std::uint64_t maximum_message_bytes = 0;
};

// Base URLs, timeouts and polling intervals of the platform's services.
struct platform_settings {
    std::string table;
    std::string object_store;
    std::string host_list;
    std::chrono::milliseconds connect_timeout{};
    std::chrono::milliseconds request_timeout{};
    std::chrono::milliseconds host_list_interval{};
    std::chrono::milliseconds configuration_poll_interval{};
};

struct thread_settings {
    std::uint32_t workers = 0;
};

struct limit_settings {
    std::uint64_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    // Largest response that is buffered until it is complete.
    std::uint64_t answer_bytes = 0;
    // Limit of all request bodies and responses that are buffered at once.
    std::uint64_t buffered_bytes = 0;
    std::uint32_t caller_connections = 0;
    std::uint32_t waiting_calls = 0;
    std::uint32_t waiting_calls_per_organisation_and_service = 0;
    std::chrono::milliseconds read_timeout{};
    std::chrono::milliseconds write_timeout{};
    std::chrono::milliseconds idle_timeout{};
};

enum class log_level : std::uint8_t { trace, debug, info, warning, error };

std::string_view to_string(log_level level);

// Logs are written to standard error only, because hosts have no disks.
struct log_settings {
    log_level level = log_level::info;
};

struct drain_settings {
    // Delay between reporting not ready and refusing new calls. In this time
    // the platform's load balancer stops sending new calls.
    std::chrono::milliseconds not_ready_delay{};
    // Longest time between the second and the third SIGTERM at which the third
    // forces the exit.
    std::chrono::milliseconds force_window{};
};

struct daemon_settings {
    host_settings host;
    listener_settings listeners;
    peer_settings peers;
    platform_settings platform;
    thread_settings threads;
    limit_settings limits;
    log_settings log;
    drain_settings drain;
    // JSON of the fleet configuration that the first daemon of a new
    // deployment writes as version 1. `load_settings` checks only that it is an
    // object; the configuration library validates its content.
    std::optional<std::string> initial_configuration;
};

// One error in a settings file.
struct settings_error {
    std::string file;
    // Path, for example "peers.seeds[1].address"; empty when the error concerns
    // the whole file.
    std::string key;
    std::string found;
    std::string expected;

    friend bool operator==(const settings_error&,
                           const settings_error&) = default;
};

// Formats `error` as one line for standard error.
std::string to_string(const settings_error& error);

struct load_result {
    daemon_settings settings;  // Valid only if `errors` is empty.
    std::vector<settings_error> errors;
};

// Returns the value of an environment variable, std::nullopt if it is not set.
using environment_reader =
    std::function<std::optional<std::string>(const std::string& name)>;

// Returns a reader of the environment of this process.
environment_reader process_environment();

// Returns settings in which every key has its default. Keys without a default
// are empty.
daemon_settings default_settings();

// Parses and checks `text`, the content of `file`. Duplicate keys are reported
// first, then the errors of each object followed by its missing keys, then
// values that contradict each other.
load_result load_settings(std::string_view text, std::string_view file,
                          const environment_reader& environment);

// Parses and checks the file at `path`. A file that cannot be read is reported
// in `errors` as well.
load_result load_settings_file(const std::string& path,
                               const environment_reader& environment);

}  // namespace bronzehub::settings

#endif
