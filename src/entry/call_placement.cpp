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
using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

// Engines that are asked for a place before a request waits at the first.
constexpr std::size_t engine_candidates = 3;
// When no schedule said when to come back.
constexpr milliseconds longest_full_retry{20000};

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
                server, environment_.status.of(server->id).in_flight,
                environment_.status.reported(server->id),
                environment_.status.allows(server->id) &&
                    !avoided_.contains(server->id) &&
                    !environment_.reach.is_cut_off(server->failure_domain)};
        });
    const auto* chosen =
        overload::choose_plain(candidates, environment_.failure_domain);
    if (chosen == nullptr) {
        // Every server failed of late: one of them may be back.
        std::ranges::for_each(candidates, [&](auto& candidate) {
            candidate.allowed = !avoided_.contains(candidate.server->id);
        });
        chosen =
            overload::choose_plain(candidates, environment_.failure_domain);
    }
    if (chosen == nullptr) {
        refuse("no backend server", no_server_retry);
        return;
    }
    placed_at_ = environment_.loop.now();
    send(*chosen->server);
}

void call::place_engine() {
    const auto all = environment_.engines.of(service_->name);
    std::vector<overload::engine_candidate> usable;
    usable.reserve(all.size());
    const bool any_limited = environment_.status.any_limited();
    const auto probed = environment_.reach.due_probe();
    std::ranges::copy_if(
        all, std::back_inserter(usable), [&](const auto& each) {
            const std::string& domain = each.server->failure_domain;
            return !avoided_.contains(each.server->id) &&
                   (!environment_.reach.is_cut_off(domain) ||
                    domain == probed) &&
                   (!any_limited ||
                    environment_.status.allows(each.server->id));
        });
    if (usable.empty()) {
        // Every engine failed of late: one of them may be back.
        std::ranges::copy_if(all, std::back_inserter(usable),
                             [&](const auto& each) {
                                 return !avoided_.contains(each.server->id);
                             });
    }
    std::ranges::for_each(usable, [&](auto& each) {
        each.full = environment_.schedule.was_full(each.server->id);
    });
    const auto chosen = overload::choose_engines(
        {description_.prompt, environment_.failure_domain,
         base::stable_hash(description_.id), !avoided_.empty()},
        usable,
        overload::has_far_homes(description_.prompt)
            ? environment_.heat.homes(
                  overload::shared_parts(description_.prompt).back().id)
            : engine_candidates);
    candidates_.clear();
    std::ranges::transform(chosen, std::back_inserter(candidates_),
                           [](const auto* server) { return server->id; });
    // Each ask costs a late host a turn of its loop. Requests that ask around
    // before they wait would be too late to be served, and the organisation
    // whose callers come to this host would lose its share to others.
    next_candidate_ = environment_.load.is_late() ? candidates_.size() : 0;
    waiting_round_ = false;
    if (candidates_.empty()) {
        refuse("no backend server", no_server_retry);
        return;
    }
    ask_next_engine();
}

place_request call::make_place_request(
    const fleet_state::backend_server& server, bool may_wait) const {
    place_request result;
    result.engine = start_name(server);
    result.server = server.id;
    result.failure_domain = server.failure_domain;
    result.options = {.slots = service_->engine_slots,
                      .memory_tokens = service_->engine_memory_tokens};
    auto& work = result.work;
    work.organisation = organisation_;
    const auto shared = overload::shared_parts(description_.prompt);
    work.shared.assign(shared.begin(), shared.end());
    work.own_tokens = description_.prompt.empty()
                          ? description_.prompt_tokens
                          : description_.prompt.back().tokens;
    work.output_tokens = fleet_state::likely_output_tokens(description_);
    work.cost = fleet_state::cost_in_shares(description_);
    const auto target = route_->target_latency;
    work.start_by =
        response_started_
            ? environment_.loop.now() + target
            : request_.arrived_at + duration_cast<base::duration>(
                                        waiting_share * seconds(target));
    work.give_up_by =
        response_started_ ? work.start_by : request_.arrived_at + target;
    work.may_wait = may_wait;
    return result;
}

void call::ask_next_engine() {
    const bool last_round = next_candidate_ >= candidates_.size();
    if (last_round && std::exchange(waiting_round_, true)) {
        refuse_full();
        return;
    }
    const std::string id =
        last_round ? candidates_.front() : candidates_[next_candidate_++];
    if (!waiting_round_ && environment_.schedule.was_full(id)) {
        ask_next_engine();
        return;
    }
    const auto* server = environment_.servers.find_available(id);
    if (server == nullptr) {
        if (waiting_round_) {
            refuse_full();
        } else {
            ask_next_engine();
        }
        return;
    }
    const auto number = environment_.schedule.ask(
        make_place_request(*server, waiting_round_),
        [self = shared_from_this(), id](const place_answer& answer) {
            if (!self->ended_) {
                self->on_place(answer, id);
            }
        });
    // The answer may have come already, and with it another ask.
    if (!ended_ && !attempt_ && !place_number_) {
        place_number_ = number;
    }
}

void call::refuse_full() {
    if (overload::has_far_homes(description_.prompt)) {
        environment_.heat.on_full(
            overload::shared_parts(description_.prompt).back().id);
    }
    refuse("engines full",
           std::min<base::duration>(shortest_retry_, longest_full_retry));
}

void call::on_place(const place_answer& answer, const std::string& server_id) {
    report_.owner = answer.owner;
    if (!answer.granted) {
        place_number_.reset();
        shortest_retry_ = std::min(shortest_retry_, answer.retry_after);
        ask_next_engine();
        return;
    }
    if (attempts_sent_ == 0) {
        environment_.shares.on_granted(
            organisation_, fleet_state::cost_in_shares(description_));
    }
    place_number_ = answer.number;
    placed_at_ = environment_.loop.now();
    const auto* server = environment_.servers.find_available(server_id);
    if (server == nullptr) {
        release_place();
        ask_next_engine();
        return;
    }
    send(*server);
}

}  // namespace bronzehub::entry
