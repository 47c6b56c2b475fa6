// The settings of an entry daemon: JSON with comments, all faults reported at
// once. docs/settings-entry.md describes the keys.
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

// "IP:port" texts.
struct entry_listener_settings {
    std::string callers;
    std::string readiness;
    std::string operators;
    std::string peers;
};

struct entry_store_settings {
    std::string address;
};

// What the platform holds the fleet to. Times in milliseconds.
struct entry_bound_settings {
    // A key that was taken away this long ago must not be accepted.
    double revocation_ms = 5000;
    // From SIGTERM to SIGKILL.
    double grace_period_ms = 8000;
    // An event of a stream must be passed on within this time.
    double delivery_ms = 120;
    // Repeats of the whole fleet for each request, and besides, in a window.
    double retry_ratio = 0.1;
    double retry_extra = 10;
    double retry_window_ms = 10000;
};

struct entry_limit_settings {
    // Descriptors that the process may open.
    double descriptors = 1024;
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
    entry_log_settings log;
};

// Errors: kInvalidArgument with every fault of the text.
absl::StatusOr<entry_settings> parse_entry_settings(std::string_view text);

// Errors: kNotFound for a file that can't be read, else as above.
absl::StatusOr<entry_settings> load_entry_settings(const std::string& path);

}  // namespace bronzehub::entry

#endif
