#include "overload/placement.hpp"

#include <algorithm>
#include <utility>

#include "base/hash.hpp"

namespace bronzehub::overload {
namespace {

using fleet_state::backend_server;
using fleet_state::prompt_part;

using scored = std::pair<std::uint64_t, const backend_server*>;

std::vector<scored> score(std::span<const backend_server* const> servers,
                          std::uint64_t key) {
    std::vector<scored> result;
    result.reserve(servers.size());
    std::ranges::transform(servers, std::back_inserter(result),
                           [key](const backend_server* server) {
                               return scored{base::stable_hash(server->id, key),
                                             server};
                           });
    return result;
}

}  // namespace

std::span<const prompt_part> shared_parts(std::span<const prompt_part> prompt) {
    return prompt.empty() ? prompt : prompt.first(prompt.size() - 1);
}

std::vector<const backend_server*> choose_engines(
    const placement_request& request,
    std::span<const backend_server* const> servers, std::size_t count) {
    const auto shared = shared_parts(request.prompt);
    const bool has_home = !shared.empty();
    const bool far = has_home && shared.back().tokens >= far_home_tokens;
    auto scores = score(servers, has_home ? shared.back().id : request.spread);
    const auto is_near = [&](const scored& entry) {
        return entry.second->failure_domain == request.failure_domain;
    };
    const bool any_near = std::ranges::any_of(scores, is_near);
    std::ranges::sort(scores, [&](const scored& a, const scored& b) {
        if (!far && any_near && is_near(a) != is_near(b)) {
            return is_near(a);
        }
        return a.first > b.first;
    });
    // A prompt whose homes are all elsewhere still gets one server nearby, for
    // the time in which the other failure domains are out of reach.
    if (far && any_near && scores.size() > count && count > 0) {
        const auto kept = std::span(scores).first(count);
        if (std::ranges::none_of(kept, is_near)) {
            const auto near = std::ranges::find_if(scores, is_near);
            std::swap(scores[count - 1], *near);
        }
    }
    std::vector<const backend_server*> result;
    for (const scored& entry : scores) {
        if (result.size() == count) {
            break;
        }
        result.push_back(entry.second);
    }
    return result;
}

const plain_candidate* choose_plain(std::span<const plain_candidate> candidates,
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
