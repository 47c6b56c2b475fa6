// What a request tells about itself, independent of how it was spelled.
#ifndef BRONZEHUB_FLEET_STATE_REQUEST_DESCRIPTION_HPP
#define BRONZEHUB_FLEET_STATE_REQUEST_DESCRIPTION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzehub::fleet_state {

// A part of a prompt. Requests with the same part share its cached tokens.
struct prompt_segment {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

struct request_description {
    // Chosen by the caller, one for each of its attempts.
    std::string id;
    std::string host;
    std::string key;
    // From the arrival of the request; nothing when the caller gave none.
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<std::uint64_t> last_event_id;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    // The caller's estimate; right at the median, often far off.
    std::optional<std::uint32_t> expected_output_tokens;
    std::vector<prompt_segment> prompt;
};

// Tokens that the answer will probably have.
std::uint32_t estimate_output_tokens(const request_description& request);

// What the request takes of its organisation's share: tokens read once and
// tokens generated twice. Zero for a request to a plain service.
double token_cost(const request_description& request);

// What a response tells besides its status and body.
struct response_description {
    std::optional<std::string> request_id;
    // Proves that a backend server made the response.
    bool has_signature = false;
    // The backend server states that the request did not run.
    bool not_run = false;
    struct load_report {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
    };
    std::optional<load_report> load;
    // How long the backend server keeps an idle connection.
    std::optional<std::chrono::seconds> keep_alive_timeout;
};

}  // namespace bronzehub::fleet_state

#endif
