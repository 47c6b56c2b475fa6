// What the operators decided: routes, services, organisations and limits.
//
// A configuration is immutable and is replaced as a whole. Use it for routing
// on the platform; the fleet configuration of the daemon's own interface is in
// the `configuration` library.
#ifndef BRONZEHUB_FLEET_STATE_CONFIGURATION_HPP
#define BRONZEHUB_FLEET_STATE_CONFIGURATION_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzehub::fleet_state {

// What may be repeated.
enum class route_kind : std::uint8_t { idempotent, non_idempotent, streaming };

struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    // Longest time that a request may be kept without its final response.
    std::chrono::milliseconds timeout{};
    // Time to the response, or to the first event, that earns full credit.
    std::chrono::milliseconds target_latency{};
    // Longest pause between two events of a stream; zero when not given.
    std::chrono::milliseconds target_event_gap{};
    std::uint32_t priority = 0;
    // Backend servers that one request may be sent to.
    std::uint32_t max_attempts = 1;
    // Needs no key.
    bool is_public = false;
    // Requests share prompt prefixes that backend servers cache.
    bool session_affinity = false;
    // A broken stream may go on elsewhere behind its last whole event.
    bool resumable = false;
    // Never empty; weights are positive.
    std::vector<weighted_service> services;

    // Whether running the request a second time does no harm.
    bool repeatable() const {
        return kind == route_kind::idempotent ||
               (kind == route_kind::streaming && resumable);
    }
};

struct service {
    std::string name;
    // Requests that one engine runs at a time; zero for a plain service.
    std::uint32_t engine_slots = 0;
    // Tokens that fit in one engine's memory.
    std::uint64_t engine_memory_tokens = 0;
};

struct organisation {
    std::string name;
    std::optional<std::uint32_t> priority;
};

struct caller_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

// The content of one version, as decoded.
struct configuration_content {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    // Key to index in `organisations`.
    std::unordered_map<std::string, std::size_t> keys;
    // False when no request needs a key.
    bool requires_keys = false;
    caller_limits limits;
};

// Thread-safe because it never changes.
class configuration {
public:
    explicit configuration(configuration_content content);

    std::uint64_t version() const { return content_.version; }
    const caller_limits& limits() const { return content_.limits; }
    bool requires_keys() const { return content_.requires_keys; }
    std::size_t route_count() const { return content_.routes.size(); }

    // The route of `host` (a port is ignored) with the longest prefix of
    // `path`, without its query; nullptr when there is none. O(depth of path).
    const route* find_route(std::string_view host, std::string_view path) const;

    const service* find_service(std::string_view name) const;

    // The holder of a key, or nullptr.
    const organisation* find_organisation_by_key(std::string_view key) const;

private:
    configuration_content content_;
    // Host, a zero byte and prefix to index in `routes`.
    std::unordered_map<std::string, std::size_t> routes_;
    std::unordered_map<std::string, std::size_t> services_;
};

using configuration_pointer = std::shared_ptr<const configuration>;

}  // namespace bronzehub::fleet_state

#endif
