#include "entry/engine_pool.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <memory>

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {

std::string instance_name(const fleet_state::backend_server& server) {
    return absl::StrCat(server.id, "/", server.started_at_ms);
}

std::pair<std::string_view, std::uint64_t> parse_instance_name(
    std::string_view name) {
    const std::size_t slash = std::min(name.rfind('/'), name.size());
    const std::string_view digits =
        name.substr(std::min(slash + 1, name.size()));
    std::uint64_t started_at_ms = 0;
    std::from_chars(std::to_address(digits.begin()),
                    std::to_address(digits.end()), started_at_ms);
    return {name.substr(0, slash), started_at_ms};
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
