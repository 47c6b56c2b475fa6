#include "entry/engine_pool.hpp"

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {

std::string instance_name(const fleet_state::backend_server& server) {
    return absl::StrCat(server.id, "/", server.started_at_ms);
}

std::span<const overload::engine_candidate> engine_pool::candidates(
    std::string_view service) {
    if (generation_ != servers_.generation()) {
        generation_ = servers_.generation();
        candidates_.clear();
    }
    const auto cached = candidates_.find(service);
    if (cached != candidates_.end()) {
        return cached->second;
    }
    std::vector<overload::engine_candidate> candidates;
    const auto available = servers_.available(service);
    std::ranges::transform(
        available, std::back_inserter(candidates),
        [](const auto* server) { return overload::make_candidate(*server); });
    return candidates_.emplace(std::string(service), std::move(candidates))
        .first->second;
}

}  // namespace bronzehub::entry
