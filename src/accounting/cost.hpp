// Cost units: the measure in which services charge organisations.
//
// The standard unit is one output token of a model. A plain call costs one
// unit unless its service says otherwise.
#ifndef BRONZEHUB_ACCOUNTING_COST_HPP
#define BRONZEHUB_ACCOUNTING_COST_HPP

#include <cstdint>

namespace bronzehub::accounting {

struct cost_rates {
    double per_output_token = 1;
    double per_input_token = 0.1;  // Reading a prompt is batched and cheaper.
    double per_call = 0;
};

// The rates of a plain service: every call costs the same.
constexpr cost_rates plain_service_rates() {
    return {.per_output_token = 0, .per_input_token = 0, .per_call = 1};
}

// The cost units of a call that has read `input` and written `output` tokens.
constexpr double cost_units(const cost_rates& rates, std::uint64_t input,
                            std::uint64_t output) {
    return rates.per_call + rates.per_input_token * static_cast<double>(input) +
           rates.per_output_token * static_cast<double>(output);
}

}  // namespace bronzehub::accounting

#endif
