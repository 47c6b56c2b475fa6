// Selects the backend servers to try for a request, best first.
//
// Requests that share a long prompt segment, which is a run of prompt tokens,
// go to the same engines: the home engines of the segment, which have its
// tokens cached. Rendezvous hashing selects the home engines, so that an engine
// that is added or removed moves only its own segments. Other requests stay in
// their failure domain.
#ifndef BRONZEHUB_OVERLOAD_PLACEMENT_HPP
#define BRONZEHUB_OVERLOAD_PLACEMENT_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fleet_state/backend_servers.hpp"
#include "fleet_state/request_description.hpp"

namespace bronzehub::overload {

// Length of a shared segment from which its cached tokens are worth the bytes
// of a request that is sent to another failure domain.
inline constexpr std::uint32_t min_remote_home_tokens = 1024;

// An engine with the data that its selection needs, computed once for each
// listing of backend servers.
struct engine_candidate {
    const fleet_state::backend_server* server = nullptr;
    // Hash of the server id, which is the same on all hosts.
    std::uint64_t id_hash = 0;
    // The engine recently refused a slot.
    bool is_full = false;
};

struct placement_request {
    std::span<const fleet_state::prompt_segment> prompt;
    // Failure domain of this host, or empty to prefer none.
    std::string_view failure_domain;
    // Hash key that distributes requests without a shared segment over engines.
    std::uint64_t spread_key = 0;
    // An attempt at a home engine failed. The other homes may be unreachable
    // for the same reason, so an engine of this failure domain is added after
    // them.
    bool homes_failed = false;
};

// Returns up to `count` servers in the order in which to try them, and one more
// if `homes_failed` adds it. For requests without a long shared segment,
// engines with free slots come first.
std::vector<const fleet_state::backend_server*> choose_engines(
    const placement_request& request,
    std::span<const engine_candidate> candidates, std::size_t count);

// Whether the longest shared prefix of the prompt is worth sending the request
// to another failure domain.
bool allows_remote_homes(std::span<const fleet_state::prompt_segment> prompt);

engine_candidate make_candidate(const fleet_state::backend_server& server);

// The segments that other requests may share: all except the last.
std::span<const fleet_state::prompt_segment> shared_segments(
    std::span<const fleet_state::prompt_segment> prompt);

// A candidate for a request to a plain HTTP service.
struct plain_candidate {
    const fleet_state::backend_server* server = nullptr;
    // Requests of this host that the server is executing.
    std::uint32_t in_flight = 0;
    // Running and waiting requests in the last load report of the server.
    std::uint32_t reported_load = 0;
    // Whether the recent results of the server permit another request.
    bool is_allowed = true;
    // Mean time that work takes on the machine of the server, as a ratio of the
    // usual time.
    double pace = 1;
};

// Returns the allowed candidate that will complete a request first, or nullptr
// if none is allowed: the expected time is the pace of the server times one
// plus its load per slot. A server of another failure domain counts as if it
// had one more request, so that equally loaded servers nearby are preferred.
const plain_candidate* choose_plain_server(
    std::span<const plain_candidate> candidates,
    std::string_view failure_domain);

}  // namespace bronzehub::overload

#endif
