#include "entry/schedule_link.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {
namespace {

using cold_start::slot_decision;
using overload::engine_decision;
using overload::scheduled_request;
using overload::scheduled_request_id;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Identifies a host and its incarnation. A restarted host reuses request
// numbers, so the name alone would not make request ids unique.
std::string requester_id(std::string_view host, std::uint64_t incarnation) {
    return absl::StrCat(std::string(host), "/", incarnation);
}

}  // namespace

schedule_link::schedule_link(host_directory& hosts,
                             const overload::fleet_shares& shares,
                             base::clock clock, timer_functions timers,
                             datagram_sender send, std::uint64_t incarnation)
    : hosts_(hosts),
      shares_(shares),
      clock_(std::move(clock)),
      timers_(std::move(timers)),
      send_(std::move(send)),
      incarnation_(incarnation),
      gate_(clock_) {}

void schedule_link::set_cold_terms(find_cold_terms find) {
    gate_.set_hooks({std::move(find),
                     [this](std::string_view engine, std::string_view domain) {
                         return hosts_.rank(engine, domain);
                     }});
}

overload::engine_scheduler& schedule_link::find_or_create_scheduler(
    const std::string& engine, overload::engine_capacity capacity) {
    auto& scheduler = schedulers_[engine];
    if (!scheduler) {
        scheduler = std::make_unique<overload::engine_scheduler>(
            capacity, shares_, clock_,
            overload::scheduler_callbacks{
                [this, engine](const scheduled_request_id& id) {
                    gate_.on_waiting_granted(engine);
                    send_response(id, engine, {engine_decision::granted});
                },
                [this, engine](const scheduled_request_id& id,
                               base::duration retry_after) {
                    send_response(id, engine,
                                  {engine_decision::refused, retry_after});
                },
                [this, engine](const scheduled_request_id& id) {
                    send_response(id, engine, {engine_decision::unreachable});
                },
                [this, engine](const scheduled_request_id& id) {
                    send_response(id, engine,
                                  {engine_decision::paced,
                                   cold_start::schedule_gate::min_retry_after});
                }});
    }
    scheduler->set_capacity(capacity);
    return *scheduler;
}

std::uint64_t schedule_link::request_slot(slot_request request,
                                          response_callback on_response) {
    const std::uint64_t number = next_number_++;
    request.scheduled_request.id = {
        requester_id(hosts_.self().name, incarnation_), number};
    open_request entry;
    entry.request = std::move(request);
    entry.on_response = std::move(on_response);
    open_requests_.emplace(number, std::move(entry));
    ++statistics_.requests;
    send_request(number);
    return number;
}

void schedule_link::send_request(std::uint64_t number) {
    open_request& entry = open_requests_.at(number);
    const entry_host& owner =
        hosts_.owner(entry.request.engine, entry.request.failure_domain);
    if (entry.owner.name != owner.name) {
        entry.requested_at = clock_.now();
    }
    entry.owner = owner;
    if (entry.owner.name == hosts_.self().name) {
        submit_locally(number);
        return;
    }
    if (entry.timer) {
        timers_.cancel(*std::exchange(entry.timer, std::nullopt));
    }
    ++statistics_.remote_requests;
    host_message message;
    message.type = static_cast<std::uint8_t>(message_type::slot_request);
    message.work.push_back(encode_request(number, entry));
    send_message(entry.owner.address, std::move(message));
    start_response_timer(number);
}

void schedule_link::start_response_timer(std::uint64_t number) {
    open_request& entry = open_requests_.at(number);
    const bool first_attempt = !entry.repeated;
    const auto delay = first_attempt
                           ? base::duration(retransmit_timeout)
                           : base::duration(owner_timeout - retransmit_timeout);
    entry.timer = timers_.run_after(delay, [this, number, first_attempt] {
        const auto found = open_requests_.find(number);
        if (found == open_requests_.end()) {
            return;
        }
        found->second.timer.reset();
        found->second.repeated = first_attempt;
        if (first_attempt) {
            ++statistics_.repeated_requests;
        } else {
            ++statistics_.owners_passed_over;
            hosts_.mark_suspect(found->second.owner.name);
        }
        send_request(number);
    });
}

void schedule_link::submit_locally(std::uint64_t number) {
    open_request& entry = open_requests_.at(number);
    auto& scheduler =
        find_or_create_scheduler(entry.request.engine, entry.request.capacity);
    const std::string engine = entry.request.engine;
    const slot_decision decision =
        gate_.decide(engine, scheduler, entry.request.scheduled_request);
    if (decision.decision != engine_decision::waiting) {
        on_slot_response(number, decision);
    }
}

void schedule_link::on_engine_event(const std::string& engine,
                                    const scheduled_request_id& id,
                                    bool in_time) {
    const auto found = schedulers_.find(engine);
    if (found == schedulers_.end()) {
        return;
    }
    gate_.before_first_event(engine, *found->second);
    found->second->on_first_event(id, {}, in_time);
}

void schedule_link::on_engine_release(const std::string& engine,
                                      const scheduled_request_id& id,
                                      bool reached) {
    const auto found = schedulers_.find(engine);
    if (found == schedulers_.end()) {
        return;
    }
    gate_.before_release(engine, *found->second, reached);
    if (reached) {
        found->second->release(id);
    } else {
        found->second->release_unreached(id);
    }
}

void schedule_link::on_slot_response_message(const host_message& message) {
    slot_decision decision{static_cast<engine_decision>(message.decision),
                           milliseconds(message.retry_after_ms),
                           milliseconds(message.send_within_ms)};
    const auto found = open_requests_.find(message.number);
    // A grant of an owner that was passed over meanwhile may be old.
    if (found != open_requests_.end() && decision.send_within.count() > 0 &&
        found->second.owner.name != message.host) {
        return;
    }
    on_slot_response(message.number, decision);
}

void schedule_link::on_slot_response(std::uint64_t number,
                                     const slot_decision& decided) {
    const engine_decision decision = decided.decision;
    const auto found = open_requests_.find(number);
    if (found == open_requests_.end() || found->second.granted) {
        return;
    }
    open_request& entry = found->second;
    if (entry.timer) {
        timers_.cancel(*std::exchange(entry.timer, std::nullopt));
    }
    if (decision == engine_decision::waiting) {
        start_decision_timer(number);
        return;
    }
    const auto on_response = std::move(entry.on_response);
    slot_response result;
    result.number = number;
    result.granted = decision == engine_decision::granted;
    result.unreachable = decision == engine_decision::unreachable;
    result.paced = decision == engine_decision::paced;
    result.retry_after = decided.retry_after;
    result.owner = entry.owner.name;
    if (result.granted && decided.send_within.count() > 0) {
        result.send_before = entry.requested_at + decided.send_within;
    }
    if (clock_.now() > result.send_before) {
        ++statistics_.expired_grants;
        end_request(number, true);
        result.granted = false;
        result.paced = true;
        on_response(result);
        return;
    }
    if (result.paced) {
        paced_until_[entry.request.server] =
            clock_.now() + std::min<base::duration>(decided.retry_after,
                                                    cold_start::limited_span);
    }
    if (result.granted) {
        entry.granted = true;
        refused_at_.erase(entry.request.server);
    } else {
        refused_at_[entry.request.server] = clock_.now();
        open_requests_.erase(found);
    }
    on_response(result);
}

void schedule_link::start_decision_timer(std::uint64_t number) {
    open_request& entry = open_requests_.at(number);
    const scheduled_request& request = entry.request.scheduled_request;
    const base::duration delay =
        std::max(request.start_deadline, request.extended_start_deadline) -
        clock_.now() + response_grace_period;
    entry.timer = timers_.run_after(delay, [this, number] {
        const auto found = open_requests_.find(number);
        if (found == open_requests_.end() || found->second.granted) {
            return;
        }
        found->second.timer.reset();
        ++statistics_.lost_responses;
        on_slot_response(number,
                         {engine_decision::refused, lost_response_retry_after});
    });
}

void schedule_link::send_response(const scheduled_request_id& id,
                                  const std::string& engine,
                                  const slot_decision& decision) {
    if (id.host == requester_id(hosts_.self().name, incarnation_)) {
        on_slot_response(id.number, decision);
        return;
    }
    const auto remote = remote_hosts_.find(id.host);
    if (remote == remote_hosts_.end()) {
        return;  // The host has timed out, and its requests were released.
    }
    host_message message;
    message.type = static_cast<std::uint8_t>(message_type::slot_response);
    message.number = id.number;
    message.engine = engine;
    message.decision = static_cast<std::uint8_t>(decision.decision);
    message.retry_after_ms =
        duration_cast<milliseconds>(decision.retry_after).count();
    message.send_within_ms = decision.send_within.count();
    send_message(remote->second.address, std::move(message));
}

void schedule_link::report_first_event(std::uint64_t number,
                                       base::duration /*since_grant*/,
                                       bool in_time) {
    const auto found = open_requests_.find(number);
    if (found == open_requests_.end() || found->second.started) {
        return;
    }
    open_request& entry = found->second;
    entry.started = true;
    if (entry.owner.name == hosts_.self().name) {
        find_or_create_scheduler(entry.request.engine, entry.request.capacity);
        on_engine_event(entry.request.engine,
                        entry.request.scheduled_request.id, in_time);
        return;
    }
    host_message message;
    message.type = static_cast<std::uint8_t>(message_type::first_event);
    message.number = number;
    message.engine = entry.request.engine;
    message.in_time = in_time;
    send_message(entry.owner.address, std::move(message));
}

bool schedule_link::was_recently_refused(std::string_view server) const {
    const auto found = refused_at_.find(server);
    return found != refused_at_.end() &&
           clock_.now() - found->second < refusal_hint_lifetime;
}

bool schedule_link::is_paced(std::string_view server) const {
    const auto found = paced_until_.find(server);
    return found != paced_until_.end() && clock_.now() < found->second;
}

bool schedule_link::any_paced() const {
    return std::ranges::any_of(paced_until_, [this](const auto& entry) {
        return clock_.now() < entry.second;
    });
}

void schedule_link::release(std::uint64_t number) {
    end_request(number, true);
}

void schedule_link::release_unreached(std::uint64_t number) {
    end_request(number, false);
}

void schedule_link::end_request(std::uint64_t number, bool reached) {
    const auto found = open_requests_.find(number);
    if (found == open_requests_.end()) {
        return;
    }
    const open_request entry = std::move(found->second);
    open_requests_.erase(found);
    if (entry.timer) {
        timers_.cancel(*entry.timer);
    }
    if (entry.owner.name == hosts_.self().name) {
        find_or_create_scheduler(entry.request.engine, entry.request.capacity);
        on_engine_release(entry.request.engine,
                          entry.request.scheduled_request.id, reached);
        return;
    }
    host_message message;
    message.type = static_cast<std::uint8_t>(message_type::release);
    message.number = number;
    message.engine = entry.request.engine;
    message.decision = static_cast<std::uint8_t>(
        reached ? engine_decision::granted : engine_decision::unreachable);
    send_message(entry.owner.address, std::move(message));
}

std::size_t schedule_link::withdraw_waiting(
    const std::set<std::string, std::less<>>& failure_domains) {
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, entry] : open_requests_) {
        if (!entry.granted &&
            failure_domains.contains(entry.request.failure_domain)) {
            waiting.push_back(number);
        }
    }
    std::ranges::sort(waiting);
    std::ranges::for_each(waiting, [this](std::uint64_t number) {
        const auto found = open_requests_.find(number);
        if (found == open_requests_.end() || found->second.granted) {
            return;  // The response to another one led to this.
        }
        const auto on_response = std::move(found->second.on_response);
        slot_response response;
        response.number = number;
        response.unreachable = true;
        response.owner = found->second.owner.name;
        end_request(number, true);
        on_response(response);
    });
    return waiting.size();
}

scheduled_request_message schedule_link::encode_request(
    std::uint64_t number, const open_request& entry) const {
    const scheduled_request& request = entry.request.scheduled_request;
    scheduled_request_message result;
    result.number = number;
    result.engine = entry.request.engine;
    result.slots = entry.request.capacity.slots;
    result.memory_tokens = entry.request.capacity.memory_tokens;
    result.organisation = request.organisation;
    result.cost = request.cost;
    result.own_tokens = request.own_tokens;
    result.output_tokens = request.output_tokens;
    std::ranges::transform(
        request.shared_segments, std::back_inserter(result.shared),
        [](const fleet_state::prompt_segment& segment) {
            return prompt_segment_message{segment.id, segment.tokens};
        });
    result.start_within_us =
        duration_cast<microseconds>(request.start_deadline - clock_.now())
            .count();
    result.give_up_within_us =
        duration_cast<microseconds>(request.extended_start_deadline -
                                    clock_.now())
            .count();
    result.may_wait = request.may_wait;
    result.started = entry.started;
    return result;
}

scheduled_request schedule_link::decode_request(
    const std::string& requester,
    const scheduled_request_message& message) const {
    scheduled_request result;
    // Far more than a request may wait; keeps the sums below in range.
    constexpr std::int64_t max_wait_us = 3'600'000'000;
    result.id = {requester, message.number};
    result.organisation = message.organisation;
    result.cost = std::isfinite(message.cost) ? std::max(message.cost, 0.0) : 0;
    result.own_tokens = message.own_tokens;
    result.output_tokens = message.output_tokens;
    std::ranges::transform(
        message.shared, std::back_inserter(result.shared_segments),
        [](const prompt_segment_message& segment) {
            return fleet_state::prompt_segment{segment.id, segment.tokens};
        });
    const auto time_within = [&](std::int64_t us) {
        return clock_.now() +
               microseconds(std::clamp(us, -max_wait_us, max_wait_us));
    };
    result.start_deadline = time_within(message.start_within_us);
    result.extended_start_deadline = time_within(message.give_up_within_us);
    result.may_wait = message.may_wait;
    return result;
}

void schedule_link::send_message(const std::string& address,
                                 host_message message) {
    message.host = hosts_.self().name;
    message.incarnation = incarnation_;
    send_(address, encode_message(message));
}

void schedule_link::on_message(const std::string& from,
                               const host_message& message) {
    const scheduled_request_id id{
        requester_id(message.host, message.incarnation), message.number};
    switch (static_cast<message_type>(message.type)) {
        case message_type::slot_request:
            on_slot_request(from, message);
            break;
        case message_type::slot_response:
            on_slot_response_message(message);
            break;
        case message_type::first_event:
            on_engine_event(message.engine, id, message.in_time);
            break;
        case message_type::release:
            on_engine_release(message.engine, id,
                              static_cast<engine_decision>(message.decision) !=
                                  engine_decision::unreachable);
            break;
        case message_type::inventory:
            on_inventory(from, message);
            break;
        default:
            break;
    }
}

void schedule_link::on_slot_request(const std::string& from,
                                    const host_message& message) {
    if (message.work.empty()) {
        return;
    }
    const scheduled_request_message& request = message.work.front();
    const std::string requester =
        requester_id(message.host, message.incarnation);
    // For a known host, this does not set the time of the last inventory: a
    // request does not show that the host's granted requests still run.
    remote_hosts_.try_emplace(requester, remote_host{from, clock_.now()});
    auto& scheduler = find_or_create_scheduler(
        request.engine,
        {.slots = request.slots, .memory_tokens = request.memory_tokens});
    const slot_decision decision = gate_.decide(
        request.engine, scheduler, decode_request(requester, request));
    send_response({requester, request.number}, request.engine, decision);
}

void schedule_link::on_inventory(const std::string& from,
                                 const host_message& message) {
    const std::string requester =
        requester_id(message.host, message.incarnation);
    remote_hosts_[requester] = {from, clock_.now()};
    std::map<std::string, std::vector<std::uint64_t>> running;
    for (const scheduled_request_message& request : message.work) {
        running[request.engine].push_back(request.number);
        auto& scheduler = find_or_create_scheduler(
            request.engine,
            {.slots = request.slots, .memory_tokens = request.memory_tokens});
        scheduler.adopt(decode_request(requester, request));
        if (request.started) {
            scheduler.on_first_event({requester, request.number}, {}, true);
        }
    }
    for (const auto& [engine, scheduler] : schedulers_) {
        if (scheduler->waiting() > 0) {
            gate_.update(engine, *scheduler);
        }
        scheduler->reconcile(requester, running[engine],
                             clock_.now() - inventory_grace_period);
    }
}

void schedule_link::tick() {
    std::ranges::for_each(schedulers_, [this](const auto& entry) {
        if (entry.second->waiting() > 0) {
            gate_.update(entry.first, *entry.second);
            entry.second->tick();
        }
    });
}

void schedule_link::send_inventory() {
    // Determines the owners anew, as they may have changed since the grants.
    std::map<std::string, host_message> messages;
    for (auto& [number, entry] : open_requests_) {
        if (!entry.granted) {
            continue;
        }
        entry.owner =
            hosts_.owner(entry.request.engine, entry.request.failure_domain);
        if (entry.owner.name == hosts_.self().name) {
            find_or_create_scheduler(entry.request.engine,
                                     entry.request.capacity)
                .adopt(entry.request.scheduled_request);
            continue;
        }
        auto& message = messages[entry.owner.address];
        message.type = static_cast<std::uint8_t>(message_type::inventory);
        message.work.push_back(encode_request(number, entry));
    }
    for (auto& [address, message] : messages) {
        send_message(address, std::move(message));
    }
    const base::time_point now = clock_.now();
    std::erase_if(refused_at_, [&](const auto& entry) {
        return now - entry.second > refusal_hint_lifetime;
    });
    std::erase_if(paced_until_,
                  [&](const auto& entry) { return now >= entry.second; });
    std::erase_if(remote_hosts_, [&](const auto& remote) {
        if (now - remote.second.last_inventory_at < host_timeout) {
            return false;
        }
        for (const auto& [engine, scheduler] : schedulers_) {
            gate_.update(engine, *scheduler);
            scheduler->release_host(remote.first);
        }
        return true;
    });
}

void schedule_link::remove_unknown_engines(
    const std::function<bool(std::string_view)>& is_known) {
    std::erase_if(schedulers_, [&](const auto& entry) {
        return !is_known(entry.first) && entry.second->running() == 0 &&
               entry.second->waiting() == 0;
    });
    gate_.remove_unknown([this](const std::string& engine) {
        return schedulers_.contains(engine);
    });
}

schedule_link::statistics schedule_link::read_statistics() const {
    statistics result = statistics_;
    result.paced_requests = gate_.paced_count();
    result.schedulers = schedulers_.size();
    for (const auto& [engine, scheduler] : schedulers_) {
        result.running += scheduler->running();
        result.waiting += scheduler->waiting();
    }
    return result;
}

}  // namespace bronzehub::entry
