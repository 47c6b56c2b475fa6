#include "entry/engine_pool.hpp"

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {

std::string start_name(const fleet_state::backend_server& server) {
    return absl::StrCat(server.id, "/", server.started_at_ms);
}

std::span<const overload::engine_candidate> engine_pool::candidates(
    std::string_view service) {
    if (generation_ != servers_.generation()) {
        generation_ = servers_.generation();
        candidates_.clear();
    }
    const auto known = candidates_.find(service);
    if (known != candidates_.end()) {
        return known->second;
    }
    std::vector<overload::engine_candidate> made;
    const auto available = servers_.available(service);
    std::ranges::transform(
        available, std::back_inserter(made),
        [](const auto* server) { return overload::make_candidate(*server); });
    return candidates_.emplace(std::string(service), std::move(made))
        .first->second;
}

}  // namespace bronzehub::entry
