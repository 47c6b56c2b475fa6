// Properties of requests and responses, independent of their encoding.
#ifndef BRONZEHUB_FLEET_STATE_REQUEST_DESCRIPTION_HPP
#define BRONZEHUB_FLEET_STATE_REQUEST_DESCRIPTION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzehub::fleet_state {

// A run of prompt tokens. Requests whose prompts contain the same segment can
// share its cached tokens.
struct prompt_segment {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

struct request_description {
    // Chosen by the caller, different for each of its attempts at a request.
    std::string id;
    std::string host;
    // API key; empty when the caller sent none.
    std::string key;
    // Counted from the arrival of the request; empty when the caller set none.
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<std::uint64_t> last_event_id;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    // The caller's estimate. It is right at the median, but single values are
    // often far off.
    std::optional<std::uint32_t> expected_output_tokens;
    std::vector<prompt_segment> prompt;
    // The caller accepts only an engine with a certain version of its weights;
    // the version is empty if it is no number.
    bool expects_weights = false;
    std::optional<std::uint64_t> expected_weights;
};

// Estimated number of output tokens: the caller's estimate, else half of the
// maximum.
std::uint32_t estimate_output_tokens(const request_description& request);

// Tokens that the request charges to its organisation's fair share: prompt
// tokens count once, output tokens twice. Zero for a request to a plain HTTP
// service, which has no tokens.
double token_cost(const request_description& request);
// As above, with another number of output tokens than the estimate.
double token_cost(const request_description& request, double output_tokens);

// Properties of a response besides its status and body.
struct response_description {
    std::optional<std::string> request_id;
    // Set when the response carries the signature that proves that a backend
    // server made it.
    bool has_signature = false;
    // The backend server states that it did not run the request.
    bool not_run = false;
    // Requests that the backend server runs and holds waiting, and its slots.
    struct load_report {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
        // Time that work takes on the machine of the server at the moment, in
        // percent of the usual time. Empty if the server does not tell it.
        std::optional<std::uint32_t> pace_percent = std::nullopt;
    };
    std::optional<load_report> load;
    // How long the backend server keeps an idle connection open.
    std::optional<std::chrono::seconds> keep_alive_timeout;
    // The backend server announces that it is about to stop.
    bool is_leaving = false;
    // Value of Retry-After: the time for which the backend server asks for no
    // further requests when it rejects one.
    std::optional<std::chrono::milliseconds> retry_after;
    // Id of the backend server.
    std::optional<std::string> server_id;
    // Version of the engine's weights.
    std::optional<std::uint64_t> weights;
    // How much longer the backend server is slow after its start.
    std::optional<std::chrono::milliseconds> cold_remaining;
};

// Whether a backend server rejected the request as misdirected because of its
// weights. Otherwise, another instance than `server` has the address.
bool is_rejected_for_weights(const request_description& request,
                             const response_description& rejection,
                             std::string_view server);

}  // namespace bronzehub::fleet_state

#endif
