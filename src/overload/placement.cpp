#include "overload/placement.hpp"

#include <algorithm>
#include <functional>
#include <iterator>

#include "base/hash.hpp"

namespace bronzehub::overload {
namespace {

using fleet_state::backend_server;
using fleet_state::prompt_segment;

// Spreads the bits of a sum of two hashes (the finaliser of splitmix64).
std::uint64_t mix(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

struct ranked {
    // Higher is tried first.
    int preference = 0;
    std::uint64_t score = 0;
    const backend_server* server = nullptr;

    bool operator>(const ranked& other) const {
        return preference != other.preference ? preference > other.preference
                                              : score > other.score;
    }
};

}  // namespace

std::span<const prompt_segment> shared_segments(
    std::span<const prompt_segment> prompt) {
    return prompt.empty() ? prompt : prompt.first(prompt.size() - 1);
}

bool allows_remote_homes(std::span<const prompt_segment> prompt) {
    const auto shared = shared_segments(prompt);
    return !shared.empty() && shared.back().tokens >= far_home_tokens;
}

engine_candidate make_candidate(const backend_server& server) {
    return {&server, base::stable_hash(server.id), false};
}

std::vector<const backend_server*> choose_engines(
    const placement_request& request,
    std::span<const engine_candidate> candidates, std::size_t count) {
    const auto shared = shared_segments(request.prompt);
    const std::uint64_t key =
        shared.empty() ? request.spread : shared.back().id;
    const bool far = allows_remote_homes(request.prompt);
    const auto is_near = [&](const backend_server& server) {
        return server.failure_domain == request.failure_domain;
    };
    std::vector<ranked> ranks;
    ranks.reserve(candidates.size());
    for (const engine_candidate& candidate : candidates) {
        const bool near = is_near(*candidate.server);
        // The homes of a long part stay its homes while they are full: reading
        // it elsewhere takes more from others than waiting does. Without one, a
        // server with room elsewhere is worth more than a full one nearby.
        const int preference =
            far ? 0 : (candidate.full ? 0 : 2) + (near ? 1 : 0);
        ranks.push_back(
            {preference, mix(candidate.hash + key), candidate.server});
    }
    count = std::min(count, ranks.size());
    const auto chosen = ranks.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(ranks, chosen, std::greater<>());
    std::vector<const backend_server*> result;
    std::transform(ranks.begin(), chosen, std::back_inserter(result),
                   [](const ranked& rank) { return rank.server; });
    if (far && request.homes_failed &&
        std::ranges::none_of(result, [&](const backend_server* server) {
            return is_near(*server);
        })) {
        const auto near = std::find_if(
            chosen, ranks.end(),
            [&](const ranked& rank) { return is_near(*rank.server); });
        if (near != ranks.end()) {
            result.push_back(near->server);
        }
    }
    return result;
}

const plain_candidate* choose_plain_server(
    std::span<const plain_candidate> candidates,
    std::string_view failure_domain) {
    const plain_candidate* best = nullptr;
    double best_load = 0;
    for (const plain_candidate& candidate : candidates) {
        if (!candidate.allowed) {
            continue;
        }
        const double far =
            candidate.server->failure_domain == failure_domain ? 0 : 1;
        const double slots = std::max(1U, candidate.server->slots);
        const double load =
            (std::max(candidate.in_flight, candidate.reported) + far) / slots;
        if (best == nullptr || load < best_load) {
            best = &candidate;
            best_load = load;
        }
    }
    return best;
}

}  // namespace bronzehub::overload
