// What this host has seen of each backend server: requests in flight, reported
// load, and whether its recent results let it have work.
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
        std::uint32_t in_flight = 0;
        std::uint32_t reported = 0;
        base::time_point reported_at{};
        capacity::health health;
    };

    explicit backend_status(base::clock clock) : clock_(std::move(clock)) {}

    server_status& find_or_create(std::string_view server);

    // Whether the server may be given one more request by this host.
    bool allows(std::string_view server);
    std::uint32_t reported(std::string_view server);

    void on_report(std::string_view server,
                   const fleet_state::response_description::load_report& load);
    void on_result(std::string_view server, std::uint64_t epoch, bool good);

    void forget(std::string_view server);

    // Whether any server is limited by its recent results.
    bool any_limited() const { return !limited_.empty(); }

private:
    base::clock clock_;
    std::map<std::string, server_status, std::less<>> servers_;
    std::set<std::string, std::less<>> limited_;
};

}  // namespace bronzehub::entry

#endif
