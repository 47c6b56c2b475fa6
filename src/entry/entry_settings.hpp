// The settings file of an entry daemon: JSON with comments. All errors in it
// are reported together. docs/settings-entry.md describes the keys.
#ifndef BRONZEHUB_ENTRY_ENTRY_SETTINGS_HPP
#define BRONZEHUB_ENTRY_ENTRY_SETTINGS_HPP

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace bronzehub::entry {

struct entry_host_settings {
    std::string name;
    std::string failure_domain;
};

// Addresses to listen on, as "IP:port": three for HTTP, and `peers` for the
// datagrams of other hosts.
struct entry_listener_settings {
    std::string callers;
    std::string readiness;
    std::string operators;
    std::string peers;
};

struct entry_store_settings {
    std::string address;
};

// Limits that the platform imposes on the fleet. Times are in milliseconds.
struct entry_bound_settings {
    // Time after its revocation from which an API key must not be accepted.
    double revocation_ms = 5000;
    // Time after a backend server announced its stop in the store from which it
    // must not get new requests.
    double drain_ms = 2000;
    // Time after which a new configuration must be in force on every host.
    double configuration_ms = 2000;
    // Time after the evacuation of a failure domain from which its backend
    // servers must not get new requests; 0 if there is no such bound.
    double evacuation_ms = 0;
    // Time between SIGTERM and SIGKILL.
    double grace_period_ms = 8000;
    // Time within which an event of a stream must be forwarded to the caller.
    double delivery_ms = 120;
    // Retries that the whole fleet may send in a window: a ratio of the
    // requests plus a fixed number.
    double retry_ratio = 0.1;
    double retry_extra = 10;
    double retry_window_ms = 10000;
    // Requests that a cold backend server may get in one second at most: this
    // ratio of the requests that it tolerates, plus a fixed number.
    double cold_overrun = 1;
    double cold_allowance = 0;
};

struct entry_limit_settings {
    // File descriptors that the process may open.
    double descriptors = 1024;
    // Memory that the process may use, in MiB; 0 if nothing limits it.
    double memory_mb = 0;
};

struct entry_hedging_settings {
    // Work that second attempts at late requests may add, in percent of all
    // work; zero turns them off.
    double extra_work_percent = 0;
};

struct entry_log_settings {
    std::string level = "info";
};

struct entry_settings {
    entry_host_settings host;
    entry_listener_settings listeners;
    entry_store_settings store;
    entry_bound_settings bounds;
    entry_limit_settings limits;
    entry_hedging_settings hedging;
    entry_log_settings log;
};

// Errors: kInvalidArgument, with all errors found in the text.
absl::StatusOr<entry_settings> parse_entry_settings(std::string_view text);

// Errors: kNotFound for a file that cannot be read, and those of
// `parse_entry_settings`.
absl::StatusOr<entry_settings> load_entry_settings(const std::string& path);

}  // namespace bronzehub::entry

#endif
