#include "fleet_state/request_description.hpp"

namespace bronzehub::fleet_state {
namespace {

// Without a hint, an answer is expected to use this part of what it may.
constexpr double expected_output_share = 0.5;
// A generated token counts as two read ones, in the platform's unit.
constexpr double output_token_cost = 2;

}  // namespace

std::uint32_t estimate_output_tokens(const request_description& request) {
    return request.expected_output_tokens.value_or(static_cast<std::uint32_t>(
        expected_output_share * request.max_output_tokens));
}

double token_cost(const request_description& request) {
    return request.prompt_tokens +
           output_token_cost * estimate_output_tokens(request);
}

}  // namespace bronzehub::fleet_state
