// The settings of one daemon process.
//
// A settings file is JSON with comments. `load_settings` checks every key for
// name, type, range and cross-references and reports all faults of the file in
// one run. The fleet's configuration (organisations, services, backend
// servers) is not part of it: that is changed through plans while the fleet
// runs, settings are read once at start.
//
// `settings_table.hpp` lists every key; docs/settings.md is generated from it.
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

// Who this daemon is.
struct host_settings {
    base::host_id name;
    base::failure_domain_id failure_domain;
    std::string region;
};

// IP:port texts; an IPv6 address is written in brackets.
struct listener_settings {
    std::string callers;
    std::string operators;
    std::string peers;
    // The address that other daemons connect to. `load_settings` fills it with
    // `peers` when the file does not give it.
    std::string peers_advertised;
};

struct seed_peer {
    base::host_id host;
    std::string address;
};

struct peer_settings {
    std::vector<seed_peer> seeds;
    // The key itself, whether the file gave it or an environment variable.
    // Never logged.
    std::string shared_key;
    // The name of the variable that holds the key; empty when the file holds
    // the key.
    std::string shared_key_variable;
    std::chrono::milliseconds connect_timeout{};
    std::uint64_t maximum_message_bytes = 0;
};

// Base URLs and timeouts of the platform's services.
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
    std::uint64_t answer_bytes = 0;
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

// Logs go to standard error only: hosts have no disks.
struct log_settings {
    log_level level = log_level::info;
};

struct drain_settings {
    // Time between becoming not ready and refusing new calls, so that the
    // platform's balancer sees the change first.
    std::chrono::milliseconds not_ready_delay{};
    // A third SIGTERM forces the exit only this soon after the second.
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
    // deployment writes as version 1. Checked by the configuration library.
    std::optional<std::string> initial_configuration;
};

// One thing that is wrong with a settings file.
struct settings_error {
    std::string file;
    std::string key;  // Path such as "peers.seeds[1].address".
    std::string found;
    std::string expected;

    friend bool operator==(const settings_error&,
                           const settings_error&) = default;
};

// One line for standard error.
std::string to_string(const settings_error& error);

struct load_result {
    daemon_settings settings;  // Usable only when there are no faults.
    std::vector<settings_error> errors;
};

// Reads an environment variable; nothing when it is not set.
using environment_reader =
    std::function<std::optional<std::string>(const std::string& name)>;

// The environment of this process.
environment_reader process_environment();

// Settings with every default and empty required keys, for tests and tools.
daemon_settings default_settings();

// Checks `text`, the content of `file`. Faults come in the order of the file,
// followed by missing keys and cross-references.
load_result load_settings(std::string_view text, std::string_view file,
                          const environment_reader& environment);

// Reads the file at `path` and checks it. A file that cannot be read is a
// fault as well.
load_result load_settings_file(const std::string& path,
                               const environment_reader& environment);

}  // namespace bronzehub::settings

#endif
