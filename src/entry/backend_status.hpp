// State of each backend server as this host observes it: requests in flight,
// reported load, health by the results of recent attempts, and pauses that the
// server asked for.
#ifndef BRONZEHUB_ENTRY_BACKEND_STATUS_HPP
#define BRONZEHUB_ENTRY_BACKEND_STATUS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "capacity/health.hpp"
#include "fleet_state/request_description.hpp"
#include "overload/pace_estimate.hpp"

namespace bronzehub::entry {

// Not thread-safe.
class backend_status {
public:
    struct server_status {
        // Attempts of this host that have not ended.
        std::uint32_t in_flight = 0;
        // Requests that the server last reported as running or waiting.
        std::uint32_t reported_load = 0;
        base::time_point reported_at{};
        capacity::health health;
        overload::pace_estimate pace;
        // Version of its weights in its last response with one.
        std::optional<std::uint64_t> weights;
        base::time_point weights_reported_at{};
    };

    // Longest pause that a server can ask for. A longer one is more likely an
    // error of the server than its intention.
    static constexpr std::chrono::seconds max_pause{300};
    // A report of the weights is outdated after this time, so that a change of
    // the weights is noticed while no requests reach the server.
    static constexpr std::chrono::seconds weights_report_lifetime{2};

    explicit backend_status(base::clock clock) : clock_(std::move(clock)) {}

    server_status& find_or_create(std::string_view server);

    // Whether the health of the server allows one more request from this host.
    // False during a pause.
    bool allows_request(std::string_view server);
    // Returns the last reported load; zero if the report is outdated.
    std::uint32_t reported_load(std::string_view server);

    // Mean time that work takes on the machine of the server, as a ratio of the
    // usual time; 1 for a server that has not told it lately.
    double pace(std::string_view server);

    void on_load_report(
        std::string_view server,
        const fleet_state::response_description::load_report& load);
    void on_weights_report(std::string_view server, std::uint64_t weights);
    // Whether the server recently reported other weights than these.
    bool has_other_weights(std::string_view server, std::uint64_t weights);
    // Records the result of an attempt. `epoch` is the health epoch of the
    // server when the attempt began. An ejection starts a new epoch, and
    // results of earlier ones are ignored.
    void on_result(std::string_view server, std::uint64_t epoch, bool success);

    // Records that the server asked this host for no requests during `length`.
    // Never shortens a pause.
    void pause(std::string_view server, base::duration length);
    // Time until the end of the pause of the server; zero without a pause.
    base::duration remaining_pause(std::string_view server) const;
    bool is_paused(std::string_view server) const {
        return remaining_pause(server) > base::duration(0);
    }
    // Ends the pause of a server that has restarted.
    void end_pause(std::string_view server);

    // Removes the status of a server, but only its pause and its weights if
    // attempts at it are in flight.
    void remove(std::string_view server);

    // Whether `allows_request` may be false for any server.
    bool any_limited() const {
        return !limited_servers_.empty() || !paused_until_.empty();
    }

private:
    base::clock clock_;
    std::map<std::string, server_status, std::less<>> servers_;
    // Servers that are ejected or recovering after failed attempts.
    std::set<std::string, std::less<>> limited_servers_;
    // End of the pause, by server id.
    std::map<std::string, base::time_point, std::less<>> paused_until_;
};

}  // namespace bronzehub::entry

#endif
