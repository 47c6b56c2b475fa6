#include "overload/output_usage.hpp"

#include <algorithm>

namespace bronzehub::overload {
namespace {

// Each stream moves the median by this factor, so that it settles within some
// tens of streams and one odd estimate hardly matters.
constexpr double median_step = 1.05;
// The smallest maximum is forgotten over some hundreds of streams.
constexpr double limit_growth = 1.005;
// Weight that the earlier streams of a source keep with each further one: the
// last 20 or so decide.
constexpr double sum_decay = 0.95;

double within_maximum(double tokens,
                      const fleet_state::request_description& request) {
    return request.max_output_tokens > 0
               ? std::min<double>(tokens, request.max_output_tokens)
               : tokens;
}

}  // namespace

double output_usage::expected_tokens(
    const output_source& source,
    const fleet_state::request_description& request) const {
    const double stated = fleet_state::estimate_output_tokens(request);
    const auto found = sums_.find(source);
    if (found == sums_.end() || found->second.stated <= 0) {
        return stated;
    }
    return within_maximum(stated * found->second.used / found->second.stated,
                          request);
}

void output_usage::learn(event_size& size,
                         const fleet_state::request_description& request,
                         std::uint64_t events) {
    if (events < min_events) {
        return;
    }
    const auto per_event = [events](std::uint32_t tokens) {
        return tokens / static_cast<double>(events);
    };
    if (request.max_output_tokens > 0) {
        const double limit = per_event(request.max_output_tokens);
        size.limit = size.limit == 0
                         ? limit
                         : std::min(size.limit * limit_growth, limit);
    }
    if (request.expected_output_tokens.value_or(0) > 0) {
        const double estimate = per_event(*request.expected_output_tokens);
        size.estimated = size.estimated == 0 ? estimate
                         : estimate > size.estimated
                             ? size.estimated * median_step
                             : size.estimated / median_step;
    }
    size.streams += size.limit > 0 || size.estimated > 0 ? 1 : 0;
}

std::optional<double> output_usage::on_ended(
    const output_source& source, std::string_view service,
    const fleet_state::request_description& request, std::uint64_t events,
    bool complete) {
    auto found = event_sizes_.find(service);
    if (found == event_sizes_.end()) {
        found = event_sizes_.emplace(std::string(service), event_size{}).first;
    }
    event_size& size = found->second;
    if (complete) {
        learn(size, request, events);
    }
    if (size.streams < min_streams) {
        return std::nullopt;
    }
    // No stream is longer than its maximum allows, so the smallest maximum per
    // event limits what the estimates say.
    const double tokens_per_event =
        size.estimated > 0 && (size.limit == 0 || size.estimated < size.limit)
            ? size.estimated
            : size.limit;
    const double used =
        within_maximum(tokens_per_event * static_cast<double>(events), request);
    token_sums& sums = sums_[source];
    sums.used = sum_decay * sums.used + used;
    sums.stated =
        sum_decay * sums.stated + fleet_state::estimate_output_tokens(request);
    return used;
}

}  // namespace bronzehub::overload
