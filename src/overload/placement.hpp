// Which backend servers a request should meet, best first.
//
// Requests that share a long part of their prompt meet at the servers that
// have read it: the part's homes, by rendezvous hashing, so that a server that
// comes or goes moves only its own parts. Other requests stay in their failure
// domain.
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

// Shared tokens from which on a home in another failure domain is worth the
// bytes that the request moves there.
inline constexpr std::uint32_t far_home_tokens = 1024;

// An engine with what its choice needs, prepared once for each listing.
struct engine_candidate {
    const fleet_state::backend_server* server = nullptr;
    // Of the id; equal on all hosts.
    std::uint64_t hash = 0;
    // It refused a place a moment ago.
    bool full = false;
};

struct placement_request {
    std::span<const fleet_state::prompt_segment> prompt;
    std::string_view failure_domain;
    // Spreads requests without a shared part.
    std::uint64_t spread = 0;
    // A home could not be reached or broke off: the others may be cut off with
    // it, so a server nearby comes after them.
    bool homes_failed = false;
};

// Up to `count` servers in the order in which they should be tried. Servers
// that are known to be full come after the others of their class.
std::vector<const fleet_state::backend_server*> choose_engines(
    const placement_request& request,
    std::span<const engine_candidate> candidates, std::size_t count);

// Whether the prompt's longest shared part is worth going to another failure
// domain for.
bool allows_remote_homes(std::span<const fleet_state::prompt_segment> prompt);

engine_candidate make_candidate(const fleet_state::backend_server& server);

// The parts that other requests may share: all but the last.
std::span<const fleet_state::prompt_segment> shared_segments(
    std::span<const fleet_state::prompt_segment> prompt);

// One candidate for a plain request.
struct plain_candidate {
    const fleet_state::backend_server* server = nullptr;
    // Requests of this host that run there.
    std::uint32_t in_flight = 0;
    // Requests that the server last reported, running and waiting.
    std::uint32_t reported = 0;
    // Whether its recent results allow another request.
    bool allowed = true;
};

// The candidate with the least load for its slots; one of another failure
// domain counts as one request busier. Nullptr when none is allowed.
const plain_candidate* choose_plain_server(
    std::span<const plain_candidate> candidates,
    std::string_view failure_domain);

}  // namespace bronzehub::overload

#endif
