#include "cold_start/schedule_gate.hpp"

#include <algorithm>
#include <utility>

namespace bronzehub::cold_start {

using overload::engine_decision;

std::optional<engine_terms> find_terms(
    const fleet_state::configuration* configuration, const warmth& instances,
    request_bound bound, std::string_view id, std::uint64_t started_at_ms) {
    // A host without a configuration can't tell whether a service limits the
    // requests to cold servers. Where the settings allow for it, one may.
    const bool is_limited =
        configuration == nullptr
            ? bound.allowance > 0
            : std::ranges::any_of(configuration->services(),
                                  &fleet_state::service::has_cold_pace);
    if (!is_limited) {
        return std::nullopt;
    }
    const warmth::instance* instance = instances.find(id, started_at_ms);
    if (configuration == nullptr || instance == nullptr) {
        return engine_terms{};
    }
    const auto* service = configuration->find_service(instance->service);
    if (service == nullptr || !service->has_cold_pace()) {
        return std::nullopt;
    }
    const double tolerated = service->cold_requests_per_s;
    return engine_terms{
        divide_pace(tolerated, tolerated * bound.overrun + bound.allowance),
        service->cold_time,
        instances.is_cold(id, started_at_ms, service->cold_time),
        instance->failure_domain};
}

std::optional<engine_terms> schedule_gate::update(
    const std::string& engine, overload::engine_scheduler& scheduler) {
    auto terms = hooks_.find_terms ? hooks_.find_terms(engine) : std::nullopt;
    if (!terms) {
        return std::nullopt;
    }
    engine_state& state = engines_[engine];
    const bool is_cold = terms->is_cold || state.pace.may_have_restarted(
                                               clock_.now(), terms->cold_time);
    if (std::exchange(state.was_cold, is_cold) != is_cold) {
        if (is_cold) {
            paced_count_ += scheduler.waiting();
            scheduler.begin_cold();
        } else {
            scheduler.end_cold();
        }
    }
    return is_cold ? std::move(terms) : std::nullopt;
}

std::size_t schedule_gate::limit(const std::string& engine,
                                 const engine_terms& terms) const {
    if (clock_.now() - created_at_ < settling_time) {
        return 0;
    }
    switch (hooks_.rank(engine, terms.failure_domain)) {
        case 0:
            return terms.limits.first;
        case 1:
            return terms.limits.second;
        default:
            return 0;
    }
}

slot_decision schedule_gate::decide(const std::string& engine,
                                    overload::engine_scheduler& scheduler,
                                    overload::scheduled_request request) {
    const auto cold = update(engine, scheduler);
    const bool is_known = scheduler.contains(request.id);
    if (cold && !is_known) {
        return decide_cold(engine, scheduler, std::move(request), *cold);
    }
    const std::string organisation = request.organisation;
    slot_decision result;
    result.decision = scheduler.submit(std::move(request));
    result.retry_after = scheduler.retry_after(organisation);
    if (cold) {
        result.send_within = grant_lifetime;
    }
    if (!is_known && result.decision == engine_decision::granted) {
        on_waiting_granted(engine);
    }
    return result;
}

slot_decision schedule_gate::decide_cold(const std::string& engine,
                                         overload::engine_scheduler& scheduler,
                                         overload::scheduled_request request,
                                         const engine_terms& terms) {
    const base::time_point now = clock_.now();
    grant_pace& pace = engines_.at(engine).pace;
    const std::size_t allowed = limit(engine, terms);
    const base::duration next =
        allowed == 0 ? base::duration(not_granter_retry_after)
                     : std::max<base::duration>(pace.time_to_next(now, allowed),
                                                min_retry_after);
    if (pace.allows(now, allowed, scheduler.prefill_tokens(request))) {
        // The grant of a request that waited would come too late to be used.
        request.may_wait = false;
        const engine_decision decision = scheduler.submit(std::move(request));
        if (decision == engine_decision::granted) {
            pace.on_granted(now);
            return {decision, {}, grant_lifetime};
        }
        if (decision == engine_decision::unreachable) {
            return {decision, {}, {}};
        }
    }
    ++paced_count_;
    return {engine_decision::paced, next, {}};
}

void schedule_gate::on_waiting_granted(const std::string& engine) {
    if (const auto found = engines_.find(engine); found != engines_.end()) {
        found->second.pace.on_granted(clock_.now());
    }
}

void schedule_gate::before_first_event(const std::string& engine,
                                       overload::engine_scheduler& scheduler) {
    if (const auto found = engines_.find(engine); found != engines_.end()) {
        found->second.pace.on_first_event(clock_.now());
        update(engine, scheduler);
    }
}

void schedule_gate::before_release(const std::string& engine,
                                   overload::engine_scheduler& scheduler,
                                   bool reached) {
    if (const auto found = engines_.find(engine); found != engines_.end()) {
        if (!reached) {
            found->second.pace.on_unreached();
        }
        update(engine, scheduler);
    }
}

void schedule_gate::remove_unknown(
    const std::function<bool(const std::string&)>& is_known) {
    std::erase_if(engines_,
                  [&](const auto& entry) { return !is_known(entry.first); });
}

}  // namespace bronzehub::cold_start
