#include "overload/placement.hpp"

#include <algorithm>
#include <functional>
#include <iterator>

#include "base/hash.hpp"

namespace bronzehub::overload {
namespace {

using fleet_state::backend_server;
using fleet_state::prompt_segment;

// Mixes the bits of a sum of two hashes (the finaliser of splitmix64).
std::uint64_t mix(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

struct ranked_server {
    // Servers with a higher preference are tried first.
    int preference = 0;
    // Rendezvous hash; orders servers of the same preference.
    std::uint64_t score = 0;
    const backend_server* server = nullptr;

    bool operator>(const ranked_server& other) const {
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
    return !shared.empty() && shared.back().tokens >= min_remote_home_tokens;
}

engine_candidate make_candidate(const backend_server& server) {
    return {&server, base::stable_hash(server.id), false};
}

std::vector<const backend_server*> choose_engines(
    const placement_request& request,
    std::span<const engine_candidate> candidates, std::size_t count) {
    const auto shared = shared_segments(request.prompt);
    const std::uint64_t key =
        shared.empty() ? request.spread_key : shared.back().id;
    const bool remote_allowed = allows_remote_homes(request.prompt);
    const auto is_local = [&](const backend_server& server) {
        return server.failure_domain == request.failure_domain;
    };
    std::vector<ranked_server> ranking;
    ranking.reserve(candidates.size());
    for (const engine_candidate& candidate : candidates) {
        const bool local = is_local(*candidate.server);
        // A long segment keeps its home engines while they are full: prefilling
        // it on another engine takes more capacity from other requests than
        // waiting does. Without a long segment, a remote engine with free slots
        // is better than a full one in this failure domain.
        const int preference =
            remote_allowed ? 0 : (candidate.is_full ? 0 : 2) + (local ? 1 : 0);
        ranking.push_back(
            {preference, mix(candidate.id_hash + key), candidate.server});
    }
    count = std::min(count, ranking.size());
    const auto selected_end =
        ranking.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(ranking, selected_end, std::greater<>());
    std::vector<const backend_server*> result;
    std::transform(ranking.begin(), selected_end, std::back_inserter(result),
                   [](const ranked_server& ranked) { return ranked.server; });
    if (remote_allowed && request.homes_failed &&
        std::ranges::none_of(result, [&](const backend_server* server) {
            return is_local(*server);
        })) {
        const auto local = std::find_if(selected_end, ranking.end(),
                                        [&](const ranked_server& ranked) {
                                            return is_local(*ranked.server);
                                        });
        if (local != ranking.end()) {
            result.push_back(local->server);
        }
    }
    return result;
}

const plain_candidate* choose_plain_server(
    std::span<const plain_candidate> candidates,
    std::string_view failure_domain) {
    const plain_candidate* best = nullptr;
    double best_time = 0;
    for (const plain_candidate& candidate : candidates) {
        if (!candidate.is_allowed) {
            continue;
        }
        const double remote_penalty =
            candidate.server->failure_domain == failure_domain ? 0 : 1;
        const double slots = std::max(1U, candidate.server->slots);
        const double load =
            (std::max(candidate.in_flight, candidate.reported_load) +
             remote_penalty) /
            slots;
        const double time = candidate.pace * (1 + load);
        if (best == nullptr || time < best_time) {
            best = &candidate;
            best_time = time;
        }
    }
    return best;
}

}  // namespace bronzehub::overload
