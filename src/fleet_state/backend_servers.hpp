// The backend servers that are registered in the platform's store.
//
// `backend_directory` turns successive listings of the registrations into the
// set of usable servers.
// It does not check whether a server is healthy; the results of requests to the
// server show that.
#ifndef BRONZEHUB_FLEET_STATE_BACKEND_SERVERS_HPP
#define BRONZEHUB_FLEET_STATE_BACKEND_SERVERS_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace bronzehub::fleet_state {

// A draining server finishes its requests and receives no new ones.
enum class backend_state : std::uint8_t { available, draining };

// One instance of a backend server: one run of its process.
struct backend_server {
    std::string id;
    std::string service;
    // "IP:port".
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 0;
    // Start time in Unix milliseconds; tells the instances of one id apart.
    std::uint64_t started_at_ms = 0;
    backend_state state = backend_state::available;
    // How much longer the server is slow after its start, as it last reported;
    // empty if it did not report that.
    std::optional<std::chrono::milliseconds> cold_remaining;

    friend bool operator==(const backend_server&,
                           const backend_server&) = default;
};

// A difference between two successive listings, for the log.
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
    // After a longer time without a listing, for example in an outage of the
    // store, the registrations of live servers may have lapsed. Servers that
    // the next listing omits are then kept for the grace period.
    base::duration max_listing_gap = std::chrono::milliseconds(2500);
    // Time within which live servers renew their lapsed registrations.
    base::duration reregistration_grace_period =
        std::chrono::milliseconds(2000);
    // Time for which an instance that announced its stop is remembered while it
    // is not listed. Longer than a server takes to stop.
    base::duration leaving_lifetime = std::chrono::minutes(10);
    // Time for which an excluded instance gets no requests. Its registration
    // lapses within about this time if its address has another owner; until
    // then each further request to it is rejected and does not run.
    base::duration exclusion_time = std::chrono::seconds(3);
};

// Not thread-safe.
class backend_directory {
public:
    backend_directory(directory_options options, base::clock clock)
        : options_(options), clock_(std::move(clock)) {}

    // Applies a complete listing. `read_at` is the time at which the read was
    // sent, so that the age of the listing is never underestimated.
    std::vector<directory_change> on_listing(
        const std::vector<backend_server>& listed, base::time_point read_at);

    // Records that the last listing was still the newest one at `read_at`.
    std::vector<directory_change> on_listing_unchanged(
        base::time_point read_at);

    // Removes the instance of a server that started at this time, for example
    // after its address responded under another id. Listings of the same
    // instance are ignored for the exclusion time. Has no effect if a later
    // instance has been listed.
    void exclude_instance(std::string_view id, std::uint64_t started_at_ms);

    // Records that the instance of a server that started at this time announced
    // that it is about to stop. It and earlier instances are draining from then
    // on, whatever listings say. Returns whether that was news about a server
    // that is available.
    bool mark_leaving(std::string_view id, std::uint64_t started_at_ms);

    // Sets the failure domains whose servers are not available, whatever the
    // listings say. Each request looks up its server here right before it is
    // sent, so that none of them is sent to these domains from then on.
    void set_evacuated_domains(std::set<std::string, std::less<>> domains);

    // Whether a server of the service is unavailable only because its failure
    // domain is evacuated.
    bool has_evacuated(std::string_view service) const;

    bool is_evacuated(const backend_server& server) const {
        return evacuated_domains_.contains(server.failure_domain);
    }

    // Returns nullptr for a server that is unknown, draining, removed or in an
    // evacuated failure domain.
    const backend_server* find_available(std::string_view id) const;

    // The available servers of a service, ordered by id.
    std::vector<const backend_server*> available(
        std::string_view service) const;

    const std::map<std::string, backend_server, std::less<>>& all() const {
        return servers_;
    }

    // Increases whenever a server is added, removed or changed, or becomes
    // available or unavailable.
    std::uint64_t generation() const { return generation_; }

    // True after the first listing.
    bool has_listing() const { return has_listing_; }
    // When the newest listing was read or last confirmed.
    base::time_point last_read_at() const { return last_read_at_; }

private:
    struct leaving_instance {
        std::uint64_t started_at_ms = 0;
        // When the instance was last listed or announced its stop.
        base::time_point last_seen_at;
    };

    struct excluded_instance {
        std::uint64_t started_at_ms = 0;
        base::time_point ends_at;
    };

    bool is_available(const backend_server& server) const;
    // Whether the instance or a later one of the same id announced its stop.
    bool is_leaving(const backend_server& server) const;
    void prune_leaving_instances();

    directory_options options_;
    base::clock clock_;
    std::map<std::string, backend_server, std::less<>> servers_;
    std::set<std::string, std::less<>> evacuated_domains_;
    // By server id.
    std::map<std::string, leaving_instance, std::less<>> leaving_instances_;
    // By server id.
    std::map<std::string, excluded_instance, std::less<>> excluded_instances_;
    std::uint64_t generation_ = 0;
    bool has_listing_ = false;
    // The last listing; `on_listing_unchanged` applies it again when a grace
    // period begins or is running.
    std::vector<backend_server> listed_;
    base::time_point last_read_at_{};
    // End of the running grace period for omitted servers; zero when none runs.
    base::time_point keep_missing_until_{};
};

}  // namespace bronzehub::fleet_state

#endif
