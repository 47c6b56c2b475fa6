// The part of a call that finds a backend server for it.
#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.hpp"
#include "entry/call.hpp"
#include "overload/placement.hpp"

namespace bronzehub::entry {
namespace {

using std::chrono::duration_cast;
using seconds = std::chrono::duration<double>;

}  // namespace

bool call::engine_work() const {
    return service_ != nullptr && service_->engine_slots > 0;
}

void call::choose_service() {
    const auto& choices = route_->services;
    std::uint64_t total = 0;
    for (const auto& choice : choices) {
        total += choice.weight;
    }
    std::uint64_t drawn = base::stable_hash(description_.id) % total;
    std::string_view name = choices.back().service;
    for (const auto& choice : choices) {
        if (drawn < choice.weight) {
            name = choice.service;
            break;
        }
        drawn -= choice.weight;
    }
    static const fleet_state::service unknown{};
    const fleet_state::service* found = configuration_->find_service(name);
    service_ = found == nullptr ? &unknown : found;
    report_.service = service_->name;
}

void call::place() {
    attempt_.reset();
    if (engine_work()) {
        place_engine();
    } else {
        place_plain();
    }
}

void call::place_plain() {
    const auto servers = environment_.servers.available(service_->name);
    std::vector<overload::plain_candidate> candidates;
    std::ranges::transform(
        servers, std::back_inserter(candidates), [&](const auto* server) {
            return overload::plain_candidate{
                server,
                environment_.status.find_or_create(server->id).in_flight,
                environment_.status.reported(server->id),
                environment_.status.allows(server->id) &&
                    !avoided_.contains(server->id) &&
                    !environment_.reach.is_unreachable(server->failure_domain)};
        });
    const auto* chosen =
        overload::choose_plain_server(candidates, environment_.failure_domain);
    if (chosen == nullptr) {
        // Every server failed of late: one of them may be back.
        std::ranges::for_each(candidates, [&](auto& candidate) {
            candidate.is_allowed = !avoided_.contains(candidate.server->id);
        });
        chosen = overload::choose_plain_server(candidates,
                                               environment_.failure_domain);
    }
    if (chosen == nullptr) {
        refuse("no backend server", no_server_retry);
        return;
    }
    placed_at_ = environment_.loop.now();
    send(*chosen->server);
}

void call::place_engine() {
    const auto target = route_->target_latency;
    const auto start_by =
        response_started_
            ? environment_.loop.now() + target
            : request_.arrived_at + duration_cast<base::duration>(
                                        waiting_share * seconds(target));
    const auto give_up_by =
        response_started_ ? start_by : request_.arrived_at + target;
    const auto if_running = [weak = weak_from_this()](auto run) {
        const auto self = weak.lock();
        if (self && !self->ended_) {
            run(*self);
        }
    };
    search_ = std::make_shared<place_search>(
        environment_.search, describe_place(),
        search_hooks{
            [if_running](const slot_response& answer,
                         const std::string& server) {
                if_running([&](call& self) { self.on_place(answer, server); });
            },
            [if_running] {
                if_running([](call& self) {
                    self.refuse("no backend server", no_server_retry);
                });
            },
            [if_running](base::duration retry_after) {
                if_running(
                    [&](call& self) { self.on_engines_full(retry_after); });
            }});
    search_->start(avoided_, start_by, give_up_by);
}

search_criteria call::describe_place() const {
    search_criteria result;
    result.service = service_->name;
    result.options = {.slots = service_->engine_slots,
                      .memory_tokens = service_->engine_memory_tokens};
    result.prompt = description_.prompt;
    result.spread = base::stable_hash(description_.id);
    auto& work = result.work;
    work.organisation = organisation_;
    work.own_tokens = description_.prompt.empty()
                          ? description_.prompt_tokens
                          : description_.prompt.back().tokens;
    work.output_tokens = fleet_state::estimate_output_tokens(description_);
    work.cost = fleet_state::token_cost(description_);
    return result;
}

void call::on_engines_full(base::duration retry_after) {
    report_.owner = search_->owner();
    refuse("engines full", retry_after);
}

void call::on_place(const slot_response& answer, const std::string& server_id) {
    report_.owner = answer.owner;
    // A place whose server then can't be reached is no second grant.
    if (!std::exchange(share_counted_, true)) {
        environment_.shares.on_granted(organisation_,
                                       fleet_state::token_cost(description_));
    }
    placed_at_ = environment_.loop.now();
    const auto* server = environment_.servers.find_available(server_id);
    if (server == nullptr) {
        search_->skip();
        return;
    }
    send(*server);
}

}  // namespace bronzehub::entry
