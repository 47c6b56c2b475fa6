// Routes, services, organisations and limits as the operators set them.
//
// A configuration is immutable and is replaced as a whole. This one is read
// from the platform's store; the fleet configuration that the daemon's own
// interface manages is in the `configuration` library.
#ifndef BRONZEHUB_FLEET_STATE_CONFIGURATION_HPP
#define BRONZEHUB_FLEET_STATE_CONFIGURATION_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzehub::fleet_state {

// Whether a request of the route may run more than once.
enum class route_kind : std::uint8_t { idempotent, non_idempotent, streaming };

struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash; the longest matching prefix wins.
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    // Longest time from the arrival of a request to its final response.
    std::chrono::milliseconds timeout{};
    // Target for the time to the response, or to the first event of a stream.
    // A response within the target counts in full.
    std::chrono::milliseconds target_latency{};
    // Target for the longest pause between two events of a stream; zero when
    // not set.
    std::chrono::milliseconds target_event_gap{};
    std::uint32_t priority = 0;
    // Number of backend servers that one request may be sent to.
    std::uint32_t max_attempts = 1;
    // Requests need no API key.
    bool is_public = false;
    // Requests share prompt prefixes, whose tokens backend servers cache.
    bool session_affinity = false;
    // A broken stream may be resumed at another backend server after its last
    // complete event.
    bool resumable = false;
    // Never empty; weights are positive.
    std::vector<weighted_service> services;

    // Whether a request that may have run may be sent again. A resumable stream
    // counts as idempotent: it continues after the last complete event.
    bool is_idempotent() const {
        return kind == route_kind::idempotent ||
               (kind == route_kind::streaming && resumable);
    }
};

struct service {
    std::string name;
    // Requests that one model engine runs at a time; zero for a plain HTTP
    // service.
    std::uint32_t engine_slots = 0;
    // Tokens that fit in the key-value cache of one engine.
    std::uint64_t engine_memory_tokens = 0;
    // Time for which a server is slow after its start, and the requests per
    // second that it tolerates meanwhile; zero for no limit.
    std::chrono::milliseconds cold_time{};
    double cold_requests_per_s = 0;

    bool has_cold_pace() const {
        return cold_time.count() > 0 && cold_requests_per_s > 0;
    }
};

struct organisation {
    std::string name;
    std::optional<std::uint32_t> priority;
};

// Limits for each connection of a caller.
struct caller_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

// The decoded content of one configuration version.
struct configuration_content {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    // API key to index in `organisations`.
    std::unordered_map<std::string, std::size_t> keys;
    // False when no request needs an API key.
    bool requires_keys = false;
    caller_limits limits;
};

// One configuration version with its lookups. Immutable, hence thread-safe.
class configuration {
public:
    explicit configuration(configuration_content content);

    std::uint64_t version() const { return content_.version; }
    const caller_limits& limits() const { return content_.limits; }
    bool requires_keys() const { return content_.requires_keys; }
    std::size_t route_count() const { return content_.routes.size(); }
    std::span<const service> services() const { return content_.services; }

    // Returns the route of `host` whose path prefix is the longest that `path`
    // begins with, or nullptr. The port of `host` and the query of `path` are
    // ignored. O(number of path segments).
    const route* find_route(std::string_view host, std::string_view path) const;

    const service* find_service(std::string_view name) const;

    // Draws one of the route's services by their weights. Equal hashes give the
    // same service as long as the route stays the same. If the configuration
    // does not define the service, returns one without a name, which no server
    // belongs to. Requires a route with services.
    const service& choose_service(const route& route, std::uint64_t hash) const;

    // Returns the organisation that an API key belongs to, or nullptr.
    const organisation* find_organisation_by_key(std::string_view key) const;

private:
    configuration_content content_;
    // Host in lower case, a zero byte and the path prefix, to index in
    // `routes`.
    std::unordered_map<std::string, std::size_t> routes_;
    std::unordered_map<std::string, std::size_t> services_;
};

using configuration_pointer = std::shared_ptr<const configuration>;

}  // namespace bronzehub::fleet_state

#endif
