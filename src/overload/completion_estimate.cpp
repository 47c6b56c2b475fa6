#include "overload/completion_estimate.hpp"

#include <algorithm>
#include <vector>

namespace bronzehub::overload {
namespace {

// Number of requests that one slot runs until a new request has ended.
std::uint32_t requests_in_turn(completion_estimate::server_load load) {
    return 1 + load.requests / std::max(1U, load.slots);
}

}  // namespace

void completion_estimate::on_completed(std::string_view route,
                                       base::duration elapsed,
                                       server_load load) {
    auto found = samples_.find(route);
    if (found == samples_.end()) {
        if (samples_.size() == max_routes) {
            samples_.erase(samples_.begin());
        }
        found = samples_.emplace(std::string(route), 0).first;
    }
    auto& samples = found->second;
    samples.push_back(elapsed / requests_in_turn(load));
    if (samples.size() > max_samples) {
        samples.pop_front();
    }
}

base::duration completion_estimate::expected(std::string_view route,
                                             server_load load) const {
    const auto found = samples_.find(route);
    if (found == samples_.end()) {
        return {};
    }
    std::vector<base::duration> sorted(found->second.begin(),
                                       found->second.end());
    const auto position =
        sorted.begin() + static_cast<std::ptrdiff_t>(
                             quantile * static_cast<double>(sorted.size() - 1));
    std::ranges::nth_element(sorted, position);
    return *position * requests_in_turn(load);
}

}  // namespace bronzehub::overload
