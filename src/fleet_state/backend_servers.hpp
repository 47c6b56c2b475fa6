// The backend servers that may be given work, as the registry lists them.
//
// `backend_directory` turns successive listings into the set of usable servers.
// It does not judge health; that follows from calls.
#ifndef BRONZEHUB_FLEET_STATE_BACKEND_SERVERS_HPP
#define BRONZEHUB_FLEET_STATE_BACKEND_SERVERS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace bronzehub::fleet_state {

enum class backend_state : std::uint8_t { available, draining };

// One start of a backend server.
struct backend_server {
    std::string id;
    std::string service;
    // "IP:port".
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 0;
    // Unix milliseconds of its start; tells a restart under the same id.
    std::uint64_t started_at_ms = 0;
    backend_state state = backend_state::available;

    friend bool operator==(const backend_server&,
                           const backend_server&) = default;
};

// What a listing changed, for the log.
struct directory_change {
    enum class change_kind : std::uint8_t {
        added,
        draining,
        removed,
        restarted
    };
    change_kind kind = change_kind::added;
    std::string id;
    std::string service;
};

struct directory_options {
    // A listing that comes after a longer pause than this may miss servers
    // whose registration lapsed in the pause.
    base::duration max_listing_gap = std::chrono::milliseconds(2500);
    // Lapsed registrations of live servers are back after this time at most.
    base::duration reregistration_grace_period =
        std::chrono::milliseconds(2000);
};

// Not thread-safe.
class backend_directory {
public:
    backend_directory(directory_options options, base::clock clock)
        : options_(options), clock_(std::move(clock)) {}

    // Takes over a complete listing. `read_at` is when the read was sent, so
    // that the age of what is known is never underestimated.
    std::vector<directory_change> on_listing(
        const std::vector<backend_server>& listed, base::time_point read_at);

    // The last listing was still the newest one at `read_at`.
    std::vector<directory_change> on_listing_unchanged(
        base::time_point read_at);

    // Removes one server at once, for example after its address answered under
    // another id. A later listing that still names this start is ignored.
    void exclude_incarnation(std::string_view id);

    // Nullptr for a server that is unknown, draining or gone.
    const backend_server* find_available(std::string_view id) const;

    // Available servers of a service, by id.
    std::vector<const backend_server*> available(
        std::string_view service) const;

    const std::map<std::string, backend_server, std::less<>>& all() const {
        return servers_;
    }

    // Changes whenever a server comes, goes or changes.
    std::uint64_t generation() const { return generation_; }

    bool has_listing() const { return has_listing_; }
    base::time_point last_read_at() const { return last_read_at_; }

private:
    directory_options options_;
    base::clock clock_;
    std::map<std::string, backend_server, std::less<>> servers_;
    // By id: the start that was disowned.
    std::map<std::string, std::uint64_t, std::less<>> excluded_incarnations_;
    std::uint64_t generation_ = 0;
    bool has_listing_ = false;
    // The last listing, for the times at which it is only confirmed.
    std::vector<backend_server> listed_;
    base::time_point last_read_at_{};
    base::time_point keep_missing_until_{};
};

}  // namespace bronzehub::fleet_state

#endif
