// From an HTTP request to a call: who asks, which service is meant, and under
// which conditions the call may run.
//
// Everything here is decided from one configuration snapshot and the request
// itself, so it runs on an I/O thread without locks.
#ifndef BRONZEHUB_CALLS_ROUTING_HPP
#define BRONZEHUB_CALLS_ROUTING_HPP

#include <chrono>
#include <optional>
#include <string>
#include <variant>

#include "base/http_header.hpp"
#include "base/refusal.hpp"
#include "base/strong_id.hpp"
#include "configuration/snapshot.hpp"
#include "http_server/server.hpp"

namespace bronzehub::calls {

// Header names of the callers' interface.
inline constexpr std::string_view request_id_header = "X-Request-Id";
inline constexpr std::string_view outcome_header = "Bronzehub-Outcome";
inline constexpr std::string_view deadline_header = "Bronzehub-Deadline-Ms";
inline constexpr std::string_view cost_hint_header = "Bronzehub-Cost-Hint";
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key";
inline constexpr std::string_view resume_from_header = "Resume-From";

inline constexpr std::size_t max_idempotency_key_bytes = 255;

// A request that may be queued.
struct routed_call {
    base::organisation_id organisation;
    base::service_id service;
    configuration::service_kind kind = configuration::service_kind::plain;
    configuration::unit_costs costs;
    std::string method;
    std::string path;            // Without the service's prefix, with query.
    base::http_headers headers;  // Fields to forward.
    std::string body;
    bool repeatable = false;  // May be sent to a backend server twice.
    bool streamed = false;    // The caller asked for server-sent events.
    std::optional<std::string> idempotency_key;
    std::optional<double> cost_hint;  // Cost units.
    std::chrono::milliseconds deadline{0};
    // Calls of the organisation that may wait for the service at this daemon.
    std::size_t waiting_limit = 0;
};

// Decides what a request asks for. Every refusal has the outcome not_run.
std::variant<routed_call, base::refusal> route(
    const configuration::configuration_snapshot& configuration,
    http_server::request&& request);

}  // namespace bronzehub::calls

#endif
