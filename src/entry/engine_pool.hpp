// Cache of the available engines of each service.
//
// The entries hold values that are computed once for each engine, such as the
// hash of its id, so that a request does not compute them again. The cache is
// rebuilt when the directory changes.
#ifndef BRONZEHUB_ENTRY_ENGINE_POOL_HPP
#define BRONZEHUB_ENTRY_ENGINE_POOL_HPP

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet_state/backend_servers.hpp"
#include "overload/placement.hpp"

namespace bronzehub::entry {

// Not thread-safe.
class engine_pool {
public:
    explicit engine_pool(const fleet_state::backend_directory& servers)
        : servers_(servers) {}

    // Returns the available engines of the service. The span is valid until the
    // directory changes.
    std::span<const overload::engine_candidate> candidates(
        std::string_view service);

private:
    const fleet_state::backend_directory& servers_;
    // Generation of the directory from which the entries were made.
    std::uint64_t generation_ = 0;
    // By service name.
    std::map<std::string, std::vector<overload::engine_candidate>, std::less<>>
        candidates_;
};

// Returns a name for one instance of a backend server. A server that restarts
// under the same id is a new instance, which shares no state with the old one.
std::string instance_name(const fleet_state::backend_server& server);
// Returns the id and the start time from such a name; the time is 0 if the name
// has none.
std::pair<std::string_view, std::uint64_t> parse_instance_name(
    std::string_view name);

}  // namespace bronzehub::entry

#endif
