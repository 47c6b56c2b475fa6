#include "entry/schedule_link.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {
namespace {

using overload::engine_decision;
using overload::scheduled_request;
using overload::scheduled_request_id;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A host that restarts uses numbers anew, so ids name the incarnation too.
std::string holder_name(std::string_view host, std::uint64_t incarnation) {
    return absl::StrCat(std::string(host), "/", incarnation);
}

}  // namespace

schedule_link::schedule_link(host_directory& hosts,
                             const overload::fleet_shares& shares,
                             base::clock clock, timer_hooks timers,
                             datagram_sender send, std::uint64_t incarnation)
    : hosts_(hosts),
      shares_(shares),
      clock_(std::move(clock)),
      timers_(std::move(timers)),
      send_(std::move(send)),
      incarnation_(incarnation) {}

overload::engine_scheduler& schedule_link::schedule_of(
    const std::string& engine, overload::engine_capacity options) {
    auto& schedule = schedules_[engine];
    if (!schedule) {
        schedule = std::make_unique<overload::engine_scheduler>(
            options, shares_, clock_,
            overload::scheduler_callbacks{
                [this, engine](const scheduled_request_id& id) {
                    answer(id, engine, engine_decision::granted, {});
                },
                [this, engine](const scheduled_request_id& id,
                               base::duration retry_after) {
                    answer(id, engine, engine_decision::refused, retry_after);
                }});
    }
    schedule->set_capacity(options);
    return *schedule;
}

std::uint64_t schedule_link::request_slot(slot_request request,
                                          answer_hook on_answer) {
    const std::uint64_t number = next_number_++;
    request.work.id = {holder_name(hosts_.self().name, incarnation_), number};
    pending entry;
    entry.request = std::move(request);
    entry.on_answer = std::move(on_answer);
    pending_.emplace(number, std::move(entry));
    ++statistics_.requests;
    send_ask(number);
    return number;
}

void schedule_link::send_ask(std::uint64_t number) {
    pending& entry = pending_.at(number);
    entry.owner =
        hosts_.owner(entry.request.engine, entry.request.failure_domain);
    entry.asked_at = clock_.now();
    if (entry.owner.name == hosts_.self().name) {
        ask_local(number);
        return;
    }
    if (entry.timer) {
        timers_.cancel(*std::exchange(entry.timer, std::nullopt));
    }
    ++statistics_.remote_requests;
    host_message message;
    message.type = static_cast<std::uint8_t>(message_type::slot_request);
    message.work.push_back(encode_work(number, entry));
    send_message(entry.owner.address, std::move(message));
    watch_answer(number);
}

void schedule_link::watch_answer(std::uint64_t number) {
    pending& entry = pending_.at(number);
    const bool first = !entry.repeated;
    const auto delay = first ? base::duration(ask_again_after)
                             : base::duration(silent_after - ask_again_after);
    entry.timer = timers_.after(delay, [this, number, first] {
        const auto found = pending_.find(number);
        if (found == pending_.end()) {
            return;
        }
        found->second.timer.reset();
        found->second.repeated = first;
        if (first) {
            ++statistics_.repeated_requests;
        } else {
            ++statistics_.owners_passed_over;
            hosts_.mark_suspect(found->second.owner.name);
        }
        send_ask(number);
    });
}

void schedule_link::ask_local(std::uint64_t number) {
    pending& entry = pending_.at(number);
    auto& schedule = schedule_of(entry.request.engine, entry.request.options);
    const std::string organisation = entry.request.work.organisation;
    const engine_decision decision = schedule.submit(entry.request.work);
    if (decision != engine_decision::waiting) {
        on_answer(number, decision, schedule.retry_after(organisation));
    }
}

void schedule_link::on_answer(std::uint64_t number, engine_decision decision,
                              base::duration retry_after) {
    const auto found = pending_.find(number);
    if (found == pending_.end() || found->second.granted) {
        return;
    }
    pending& entry = found->second;
    if (entry.timer) {
        timers_.cancel(*std::exchange(entry.timer, std::nullopt));
    }
    if (decision == engine_decision::waiting) {
        watch_wait(number);
        return;
    }
    const auto hook = std::move(entry.on_answer);
    slot_response result;
    result.number = number;
    result.granted = decision == engine_decision::granted;
    result.retry_after = retry_after;
    result.owner = entry.owner.name;
    if (result.granted) {
        entry.granted = true;
        refused_at_.erase(entry.request.server);
    } else {
        refused_at_[entry.request.server] = clock_.now();
        pending_.erase(found);
    }
    hook(result);
}

void schedule_link::watch_wait(std::uint64_t number) {
    pending& entry = pending_.at(number);
    const scheduled_request& work = entry.request.work;
    const base::duration delay =
        std::max(work.start_deadline, work.extended_start_deadline) -
        clock_.now() + answer_in_flight;
    entry.timer = timers_.after(delay, [this, number] {
        const auto found = pending_.find(number);
        if (found == pending_.end() || found->second.granted) {
            return;
        }
        found->second.timer.reset();
        ++statistics_.lost_responses;
        on_answer(number, engine_decision::refused, answer_lost_retry);
    });
}

void schedule_link::answer(const scheduled_request_id& id,
                           const std::string& engine, engine_decision decision,
                           base::duration retry_after) {
    if (id.host == holder_name(hosts_.self().name, incarnation_)) {
        on_answer(id.number, decision, retry_after);
        return;
    }
    const auto remote = remotes_.find(id.host);
    if (remote == remotes_.end()) {
        return;  // The host was lost meanwhile; its work is dropped with it.
    }
    host_message message;
    message.type = static_cast<std::uint8_t>(message_type::slot_response);
    message.number = id.number;
    message.engine = engine;
    message.decision = static_cast<std::uint8_t>(decision);
    message.retry_after_ms = duration_cast<milliseconds>(retry_after).count();
    send_message(remote->second.address, std::move(message));
}

void schedule_link::first_event(std::uint64_t number,
                                base::duration since_grant, bool in_time) {
    const auto found = pending_.find(number);
    if (found == pending_.end() || found->second.started) {
        return;
    }
    pending& entry = found->second;
    entry.started = true;
    if (entry.owner.name == hosts_.self().name) {
        schedule_of(entry.request.engine, entry.request.options)
            .on_first_event(entry.request.work.id, since_grant, in_time);
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
           clock_.now() - found->second < full_hint_lifetime;
}

void schedule_link::release(std::uint64_t number) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
        return;
    }
    const pending entry = std::move(found->second);
    pending_.erase(found);
    if (entry.timer) {
        timers_.cancel(*entry.timer);
    }
    if (entry.owner.name == hosts_.self().name) {
        schedule_of(entry.request.engine, entry.request.options)
            .release(entry.request.work.id);
        return;
    }
    host_message message;
    message.type = static_cast<std::uint8_t>(message_type::release);
    message.number = number;
    message.engine = entry.request.engine;
    send_message(entry.owner.address, std::move(message));
}

scheduled_request_message schedule_link::encode_work(
    std::uint64_t number, const pending& entry) const {
    const scheduled_request& work = entry.request.work;
    scheduled_request_message result;
    result.number = number;
    result.engine = entry.request.engine;
    result.slots = entry.request.options.slots;
    result.memory_tokens = entry.request.options.memory_tokens;
    result.organisation = work.organisation;
    result.cost = work.cost;
    result.own_tokens = work.own_tokens;
    result.output_tokens = work.output_tokens;
    std::ranges::transform(
        work.shared_segments, std::back_inserter(result.shared),
        [](const fleet_state::prompt_segment& part) {
            return prompt_segment_message{part.id, part.tokens};
        });
    result.start_within_us =
        duration_cast<microseconds>(work.start_deadline - clock_.now()).count();
    result.give_up_within_us =
        duration_cast<microseconds>(work.extended_start_deadline - clock_.now())
            .count();
    result.may_wait = work.may_wait;
    result.started = entry.started;
    return result;
}

scheduled_request schedule_link::decode_work(
    const std::string& host, const scheduled_request_message& from) const {
    scheduled_request result;
    result.id = {host, from.number};
    result.organisation = from.organisation;
    result.cost = from.cost;
    result.own_tokens = from.own_tokens;
    result.output_tokens = from.output_tokens;
    std::ranges::transform(
        from.shared, std::back_inserter(result.shared_segments),
        [](const prompt_segment_message& part) {
            return fleet_state::prompt_segment{part.id, part.tokens};
        });
    result.start_deadline = clock_.now() + microseconds(from.start_within_us);
    result.extended_start_deadline =
        clock_.now() + microseconds(from.give_up_within_us);
    result.may_wait = from.may_wait;
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
        holder_name(message.host, message.incarnation), message.number};
    switch (static_cast<message_type>(message.type)) {
        case message_type::slot_request:
            on_ask(from, message);
            break;
        case message_type::slot_response:
            on_answer(message.number,
                      static_cast<engine_decision>(message.decision),
                      milliseconds(message.retry_after_ms));
            break;
        case message_type::first_event:
            if (const auto found = schedules_.find(message.engine);
                found != schedules_.end()) {
                found->second->on_first_event(id, {}, message.in_time);
            }
            break;
        case message_type::release:
            if (const auto found = schedules_.find(message.engine);
                found != schedules_.end()) {
                found->second->release(id);
            }
            break;
        case message_type::inventory:
            on_inventory(from, message);
            break;
        default:
            break;
    }
}

void schedule_link::on_ask(const std::string& from,
                           const host_message& message) {
    if (message.work.empty()) {
        return;
    }
    const scheduled_request_message& asked = message.work.front();
    const std::string holder = holder_name(message.host, message.incarnation);
    // An ask does not prove that granted work still runs; only the list does.
    remotes_.try_emplace(holder, remote_host{from, clock_.now()});
    auto& schedule = schedule_of(
        asked.engine,
        {.slots = asked.slots, .memory_tokens = asked.memory_tokens});
    const auto decision = schedule.submit(decode_work(holder, asked));
    answer({holder, asked.number}, asked.engine, decision,
           schedule.retry_after(asked.organisation));
}

void schedule_link::on_inventory(const std::string& from,
                                 const host_message& message) {
    const std::string holder = holder_name(message.host, message.incarnation);
    remotes_[holder] = {from, clock_.now()};
    std::map<std::string, std::vector<std::uint64_t>> running;
    for (const scheduled_request_message& work : message.work) {
        running[work.engine].push_back(work.number);
        auto& schedule = schedule_of(
            work.engine,
            {.slots = work.slots, .memory_tokens = work.memory_tokens});
        schedule.adopt(decode_work(holder, work));
        if (work.started) {
            schedule.on_first_event({holder, work.number}, {}, true);
        }
    }
    for (const auto& [engine, schedule] : schedules_) {
        schedule->reconcile(holder, running[engine],
                            clock_.now() - grant_in_flight);
    }
}

void schedule_link::tick() {
    std::ranges::for_each(schedules_, [](const auto& entry) {
        if (entry.second->waiting() > 0) {
            entry.second->tick();
        }
    });
}

void schedule_link::send_inventory() {
    // Owners may have changed since the grants.
    std::map<std::string, host_message> messages;
    for (auto& [number, entry] : pending_) {
        if (!entry.granted) {
            continue;
        }
        entry.owner =
            hosts_.owner(entry.request.engine, entry.request.failure_domain);
        if (entry.owner.name == hosts_.self().name) {
            schedule_of(entry.request.engine, entry.request.options)
                .adopt(entry.request.work);
            continue;
        }
        auto& message = messages[entry.owner.address];
        message.type = static_cast<std::uint8_t>(message_type::inventory);
        message.work.push_back(encode_work(number, entry));
    }
    for (auto& [address, message] : messages) {
        send_message(address, std::move(message));
    }
    const base::time_point now = clock_.now();
    std::erase_if(refused_at_, [&](const auto& entry) {
        return now - entry.second > full_hint_lifetime;
    });
    std::erase_if(remotes_, [&](const auto& remote) {
        if (now - remote.second.listed_at < host_lost_after) {
            return false;
        }
        for (const auto& [engine, schedule] : schedules_) {
            schedule->release_host(remote.first);
        }
        return true;
    });
}

void schedule_link::remove_unknown_engines(
    const std::function<bool(std::string_view)>& is_known) {
    std::erase_if(schedules_, [&](const auto& entry) {
        return !is_known(entry.first) && entry.second->running() == 0 &&
               entry.second->waiting() == 0;
    });
}

schedule_link::statistics schedule_link::read_statistics() const {
    statistics result = statistics_;
    result.schedules = schedules_.size();
    for (const auto& [engine, schedule] : schedules_) {
        result.running += schedule->running();
        result.waiting += schedule->waiting();
    }
    return result;
}

}  // namespace bronzehub::entry
