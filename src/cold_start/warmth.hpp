// Tells which instances of backend servers may be cold.
//
// A backend server that has just started is slow, and one that gets too many
// requests in that time ends. An instance of which nothing is known counts as
// cold; it counts as warm when its registration says so or when its time from
// the start is over.
//
// Load patterns: servers that crash under load and start again; a release that
// replaces servers one after the other; a failure domain that comes back with
// all its servers at once.
#ifndef BRONZEHUB_COLD_START_WARMTH_HPP
#define BRONZEHUB_COLD_START_WARMTH_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "fleet_state/backend_servers.hpp"

namespace bronzehub::cold_start {

// Not thread-safe.
class warmth {
public:
    explicit warmth(base::clock clock) : clock_(std::move(clock)) {}

    // Applies a complete listing that was read at `read_at`; ignores one that
    // is older than the last. The servers of the first listing count as warm
    // unless their registrations say otherwise, because they served before this
    // host started.
    void on_listing(std::span<const fleet_state::backend_server> listed,
                    base::time_point read_at);

    // Records what a server reported about its current instance.
    void on_reported(std::string_view id, std::chrono::milliseconds remaining);

    // Treats the servers of a failure domain like servers that have just
    // started, because they may have restarted while none of them was in use.
    void on_domain_returned(std::string_view domain);

    // Forgets the servers that the last listing omits and for which `is_kept`
    // returns false. An instance that is listed again later counts as cold.
    void remove_missing(const std::function<bool(std::string_view)>& is_kept);

    // Whether the instance may be cold. `cold_time` is the time for which
    // servers of its service are cold after their start. An unknown instance
    // is cold.
    bool is_cold(std::string_view id, std::uint64_t started_at_ms,
                 base::duration cold_time) const;

    // The service and the failure domain of an instance; nullptr if the
    // instance is unknown or another one of the id is listed.
    struct instance {
        std::uint64_t started_at_ms = 0;
        std::string service;
        std::string failure_domain;
        // When the instance was last presumed to have started.
        std::optional<base::time_point> presumed_start;
        // End of the time for which the instance reported to be cold.
        base::time_point reported_until{};
        std::chrono::milliseconds last_reported{0};
        bool is_listed = true;
    };
    const instance* find(std::string_view id,
                         std::uint64_t started_at_ms) const;

    bool has_listing() const { return has_listing_; }
    const std::map<std::string, instance, std::less<>>& instances() const {
        return instances_;
    }

private:
    void on_registration(const fleet_state::backend_server& server);

    base::clock clock_;
    std::map<std::string, instance, std::less<>> instances_;
    bool has_listing_ = false;
    base::time_point last_read_at_{};
};

}  // namespace bronzehub::cold_start

#endif
