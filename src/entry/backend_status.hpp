// State of each backend server as this host observes it: requests in flight,
// reported load, and health by the results of recent attempts.
#ifndef BRONZEHUB_ENTRY_BACKEND_STATUS_HPP
#define BRONZEHUB_ENTRY_BACKEND_STATUS_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "capacity/health.hpp"
#include "fleet_state/request_description.hpp"

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
    };

    explicit backend_status(base::clock clock) : clock_(std::move(clock)) {}

    server_status& find_or_create(std::string_view server);

    // Whether the health of the server allows one more request from this host.
    bool allows_request(std::string_view server);
    // Returns the last reported load; zero if the report is outdated.
    std::uint32_t reported_load(std::string_view server);

    void on_load_report(
        std::string_view server,
        const fleet_state::response_description::load_report& load);
    // Records the result of an attempt. `epoch` is the health epoch of the
    // server when the attempt began. An ejection starts a new epoch, and
    // results of earlier ones are ignored.
    void on_result(std::string_view server, std::uint64_t epoch, bool success);

    // Removes the status of a server unless attempts at it are in flight.
    void remove(std::string_view server);

    // Whether any server is limited, that is, ejected or recovering after
    // failed attempts.
    bool any_limited() const { return !limited_servers_.empty(); }

private:
    base::clock clock_;
    std::map<std::string, server_status, std::less<>> servers_;
    std::set<std::string, std::less<>> limited_servers_;
};

}  // namespace bronzehub::entry

#endif
