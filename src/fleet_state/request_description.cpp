#include "fleet_state/request_description.hpp"

namespace bronzehub::fleet_state {
namespace {

// Without an estimate of the caller, a response is expected to use this
// fraction of its maximum output tokens.
constexpr double default_output_fraction = 0.5;
// The platform charges an output token like two prompt tokens.
constexpr double output_token_weight = 2;

}  // namespace

std::uint32_t estimate_output_tokens(const request_description& request) {
    return request.expected_output_tokens.value_or(static_cast<std::uint32_t>(
        default_output_fraction * request.max_output_tokens));
}

double token_cost(const request_description& request) {
    return token_cost(request, estimate_output_tokens(request));
}

double token_cost(const request_description& request, double output_tokens) {
    return request.prompt_tokens + output_token_weight * output_tokens;
}

bool is_rejected_for_weights(const request_description& request,
                             const response_description& rejection,
                             std::string_view server) {
    if (!request.expects_weights ||
        (rejection.server_id && *rejection.server_id != server)) {
        return false;
    }
    return !rejection.weights || !request.expected_weights ||
           *rejection.weights != *request.expected_weights;
}

}  // namespace bronzehub::fleet_state
