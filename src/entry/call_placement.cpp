// Member functions of `call` that select a backend server.
#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.hpp"
#include "entry/call.hpp"
#include "entry/refusal.hpp"
#include "overload/placement.hpp"

namespace bronzehub::entry {
namespace {

using std::chrono::duration_cast;
using seconds = std::chrono::duration<double>;

}  // namespace

bool call::is_engine_request() const {
    return service_ != nullptr && service_->engine_slots > 0;
}

void call::select_server() {
    attempt_.reset();
    if (is_engine_request()) {
        if (expects_unavailable_weights()) {
            reject_expected_weights();
            return;
        }
        if (check_segments()) {
            search_engine();
        }
    } else {
        select_plain_server();
    }
}

std::vector<overload::plain_candidate> call::plain_candidates() const {
    const auto servers = environment_.servers.available(service_->name);
    std::vector<overload::plain_candidate> candidates;
    std::ranges::transform(
        servers, std::back_inserter(candidates), [&](const auto* server) {
            return overload::plain_candidate{
                server,
                environment_.status.find_or_create(server->id).in_flight,
                environment_.status.reported_load(server->id),
                environment_.status.allows_request(server->id) &&
                    !excluded_servers_.contains(server->id) &&
                    !environment_.reachability.is_unreachable(
                        server->failure_domain),
                environment_.status.pace(server->id)};
        });
    return candidates;
}

void call::select_plain_server() {
    auto candidates = plain_candidates();
    const auto* chosen =
        overload::choose_plain_server(candidates, environment_.failure_domain);
    if (chosen == nullptr) {
        // All servers failed recently. One of them may work again.
        std::ranges::for_each(candidates, [&](auto& candidate) {
            candidate.is_allowed =
                !excluded_servers_.contains(candidate.server->id) &&
                !environment_.status.is_paused(candidate.server->id);
        });
        chosen = overload::choose_plain_server(candidates,
                                               environment_.failure_domain);
    }
    if (chosen == nullptr) {
        refuse_without_server();
        return;
    }
    server_selected_at_ = environment_.loop.now();
    send(*chosen->server);
}

void call::refuse_without_server() {
    const bool any_paused = std::ranges::any_of(
        environment_.servers.available(service_->name),
        [this](const auto* server) {
            return environment_.status.is_paused(server->id);
        });
    std::string_view cause = "no backend server";
    if (any_paused) {
        cause = "backend servers paused";
    } else if (environment_.servers.has_evacuated(service_->name)) {
        cause = "failure domain evacuated";
    }
    refuse(cause, time_to_next_server());
}

base::duration call::time_to_next_server() const {
    const auto servers = environment_.servers.available(service_->name);
    base::duration shortest = base::duration::max();
    for (const auto* server : servers) {
        shortest =
            std::min(shortest, environment_.status.remaining_pause(server->id));
    }
    if (servers.empty()) {
        return no_server_retry_after;
    }
    return std::max<base::duration>(retry_after_at_least(shortest),
                                    no_server_retry_after);
}

base::time_point call::start_deadline() const {
    const auto target = route_->target_latency;
    return response_started_ ? environment_.loop.now() + target
                             : request_.arrived_at +
                                   duration_cast<base::duration>(
                                       max_waiting_fraction * seconds(target));
}

void call::search_engine() {
    const auto target = route_->target_latency;
    const auto latest_start = start_deadline();
    const auto extended_latest_start =
        response_started_ ? latest_start : request_.arrived_at + target;
    // Ignores callbacks of the search after the call has ended.
    const auto if_active = [weak = weak_from_this()](auto callback) {
        const auto self = weak.lock();
        if (self && !self->ended_) {
            callback(*self);
        }
    };
    search_ = std::make_shared<place_search>(
        environment_.search, make_search_criteria(),
        search_callbacks{
            [if_active](const slot_response& response,
                        const std::string& server) {
                if_active([&](call& self) {
                    self.on_slot_granted(response, server);
                });
            },
            [if_active] {
                if_active([](call& self) { self.refuse_without_server(); });
            },
            [if_active](base::duration retry_after) {
                if_active(
                    [&](call& self) { self.on_engines_full(retry_after); });
            }});
    search_->start(unsuitable_servers(), latest_start, extended_latest_start);
}

std::set<std::string> call::unsuitable_servers() const {
    std::set<std::string> result = excluded_servers_;
    if (const auto weights = description_.expected_weights) {
        for (const auto* server :
             environment_.servers.available(service_->name)) {
            if (environment_.status.has_other_weights(server->id, *weights)) {
                result.insert(server->id);
            }
        }
    }
    return result;
}

bool call::expects_unavailable_weights() const {
    if (!description_.expected_weights) {
        return false;
    }
    const auto servers = environment_.servers.available(service_->name);
    return !servers.empty() &&
           std::ranges::all_of(servers, [this](const auto* server) {
               return environment_.status.has_other_weights(
                   server->id, *description_.expected_weights);
           });
}

search_criteria call::make_search_criteria() const {
    search_criteria result;
    result.service = service_->name;
    result.capacity = {.slots = service_->engine_slots,
                       .memory_tokens = service_->engine_memory_tokens};
    result.prompt = description_.prompt;
    result.spread_hash = base::stable_hash(description_.id);
    auto& request = result.request;
    request.organisation = organisation_;
    request.own_tokens = description_.prompt.empty()
                             ? description_.prompt_tokens
                             : description_.prompt.back().tokens;
    request.output_tokens = fleet_state::estimate_output_tokens(description_);
    request.cost = cost_;
    return result;
}

void call::on_engines_full(base::duration retry_after) {
    report_.owner = search_->schedule_owner();
    refuse("engines full", retry_after);
}

void call::on_slot_granted(const slot_response& response,
                           const std::string& server_id) {
    report_.owner = response.owner;
    // If the attempt fails and another slot is granted, the usage is not
    // counted again.
    if (!std::exchange(usage_counted_, true)) {
        environment_.shares.on_granted(organisation_, cost_);
    }
    server_selected_at_ = environment_.loop.now();
    const auto* server = environment_.servers.find_available(server_id);
    if (server == nullptr || environment_.status.is_paused(server_id)) {
        search_->try_next();
        return;
    }
    send(*server);
}

}  // namespace bronzehub::entry
