// The engines of each service, prepared for their choice.
//
// Rebuilt when the directory changes, so that a request does not look at every
// server's name.
#ifndef BRONZEHUB_ENTRY_ENGINE_POOL_HPP
#define BRONZEHUB_ENTRY_ENGINE_POOL_HPP

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fleet_state/backend_servers.hpp"
#include "overload/placement.hpp"

namespace bronzehub::entry {

// Not thread-safe. What it returns is valid until the directory changes.
class engine_pool {
public:
    explicit engine_pool(const fleet_state::backend_directory& servers)
        : servers_(servers) {}

    // Available engines of the service.
    std::span<const overload::engine_candidate> candidates(
        std::string_view service);

private:
    const fleet_state::backend_directory& servers_;
    std::uint64_t generation_ = 0;
    std::map<std::string, std::vector<overload::engine_candidate>, std::less<>>
        candidates_;
};

// Names one start of a backend server: two starts under one id share nothing.
std::string start_name(const fleet_state::backend_server& server);

}  // namespace bronzehub::entry

#endif
