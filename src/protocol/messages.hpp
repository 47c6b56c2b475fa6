// The messages that daemons send each other.
//
// Each message is a plain struct; `codec.hpp` turns it into MessagePack maps
// and back. Field names on the wire are short, because usage reports dominate
// control traffic. Adding a field is compatible: a receiver ignores keys that
// it does not know and keeps the default of keys that are missing.
#ifndef BRONZEHUB_PROTOCOL_MESSAGES_HPP
#define BRONZEHUB_PROTOCOL_MESSAGES_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bronzehub::protocol {

// Messages with another major version are refused. A higher minor version may
// carry fields that this release does not know.
inline constexpr std::uint32_t major_version = 1;
inline constexpr std::uint32_t minor_version = 0;

// Who sent a message. `incarnation` rises with every start of the daemon,
// `sequence` with every message of one incarnation and type.
struct sender {
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

// What one daemon believes of another.
struct member_update {
    std::string host;
    std::string address;  // IP:port of the peer listener.
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    std::uint64_t configuration_version = 0;
};

// With `full_view` the sender asks for every member that the target knows.
struct probe {
    std::uint64_t probe_id = 0;
    std::string target;
    std::vector<member_update> updates;
    bool full_view = false;
};

// With `full_view` the updates are every member that the sender knows.
struct probe_ack {
    std::uint64_t probe_id = 0;
    std::string target;
    std::vector<member_update> updates;
    bool full_view = false;
};

// Asks the receiver to probe `target` for the sender.
struct probe_request {
    std::uint64_t probe_id = 0;
    std::string target;
    std::vector<member_update> updates;
};

// State of one organisation's use of one service at the sending daemon.
struct usage_row {
    std::uint32_t service = 0;
    std::uint32_t organisation = 0;
    double served_total = 0;        // Cost units since the incarnation began.
    std::uint32_t running = 0;      // Calls running now.
    double expected_remainder = 0;  // Cost units, sum over running calls.
    std::uint32_t waiting = 0;      // Calls waiting now.
    // Highest id of the receiver's grants for this row that had arrived. Later
    // grants are still under way and not part of `waiting`.
    std::uint64_t last_grant = 0;
};

struct usage_report {
    bool complete = false;  // Every row, not only the changed ones.
    std::vector<usage_row> rows;
};

struct waiting_row {
    std::uint32_t service = 0;
    std::uint32_t organisation = 0;
    std::uint32_t waiting = 0;
    std::uint64_t oldest_wait_ms = 0;  // Age of the oldest waiting call.
    std::uint64_t last_grant = 0;      // As in usage_row.
};

struct work_announcement {
    std::vector<waiting_row> rows;
};

// Permission to start one call of the organisation on the backend server.
struct slot_grant {
    std::uint64_t grant_id = 0;
    std::uint64_t term = 0;  // Changes when the dispatcher loses its role.
    std::uint32_t backend_server = 0;
    std::uint32_t service = 0;
    std::uint32_t organisation = 0;
};

enum class release_reason : std::uint8_t { unused, completed, failed };

struct grant_release {
    std::uint64_t grant_id = 0;
    std::uint64_t term = 0;
    std::uint32_t backend_server = 0;
    release_reason reason = release_reason::unused;
    double served = 0;  // Cost units.
    std::uint32_t first_byte_ms = 0;
    std::uint32_t duration_ms = 0;
    std::uint32_t output_units = 0;  // Output tokens, or 1 for a plain call.
};

struct running_grant {
    std::uint64_t grant_id = 0;
    std::uint64_t term = 0;
    std::string dispatcher;  // The host that issued the grant.
    std::uint32_t backend_server = 0;
    std::uint32_t service = 0;
    std::uint32_t organisation = 0;
};

// Every grant that the sender holds on the receiver's backend servers.
struct inventory {
    std::vector<running_grant> grants;
};

struct leaving_notice {
    std::vector<std::uint32_t> backend_servers;
};

struct configuration_notice {
    std::uint64_t version = 0;
};

struct configuration_request {
    std::uint64_t have_version = 0;
};

// Changes `from_version + 1` to `to_version` in order, or a snapshot at
// `to_version` when `snapshot` is not empty. Both are JSON.
struct configuration_delta {
    std::uint64_t from_version = 0;
    std::uint64_t to_version = 0;
    std::vector<std::string> changes;
    std::string snapshot;
};

using body = std::variant<probe, probe_ack, probe_request, usage_report,
                          work_announcement, slot_grant, grant_release,
                          inventory, leaving_notice, configuration_notice,
                          configuration_request, configuration_delta>;

struct message {
    sender from;
    body content;
};

}  // namespace bronzehub::protocol

#endif
