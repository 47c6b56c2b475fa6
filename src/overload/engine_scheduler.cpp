#include "overload/engine_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bronzehub::overload {
namespace {

using seconds = std::chrono::duration<double>;

// Weight of a new sample in the smoothed interval between releases.
constexpr double interval_gain = 0.1;
// Growth and cut of the prompt window, as of a congestion window: slow growth
// while first events are in time, a cut when one is late.
constexpr double window_growth_tokens = 512;
constexpr double window_cut = 0.9;
// Bounds of Retry-After: a shorter pause meets the same load, a longer one is
// a guess about load that has not come yet.
constexpr seconds shortest_retry{0.25};
constexpr seconds longest_retry{20};

base::duration to_duration(seconds value) {
    return std::chrono::duration_cast<base::duration>(value);
}

}  // namespace

engine_scheduler::engine_scheduler(engine_capacity options,
                                   const fleet_shares& fleet, base::clock clock,
                                   scheduler_callbacks hooks)
    : options_(options),
      fleet_(fleet),
      clock_(clock),
      hooks_(std::move(hooks)),
      rates_(std::move(clock)) {}

bool engine_scheduler::contains(const scheduled_request_id& id) const {
    return running_.contains(id) ||
           std::ranges::find(waiting_, id, &scheduled_request::id) !=
               waiting_.end();
}

engine_decision engine_scheduler::submit(scheduled_request work) {
    if (running_.contains(work.id)) {
        return engine_decision::granted;
    }
    if (std::ranges::find(waiting_, work.id, &scheduled_request::id) !=
        waiting_.end()) {
        return engine_decision::waiting;
    }
    if (has_room(work) && goes_first(work)) {
        grant(std::move(work));
        return engine_decision::granted;
    }
    if (!work.may_wait) {
        return engine_decision::refused;
    }
    const scheduled_request_id id = work.id;
    waiting_.push_back(std::move(work));
    // The organisation that got most gives way when not all can start in time.
    const auto last = last_in_order();
    if (is_hopeless(*last, waiting_.size() - 1)) {
        if (last->id == id) {
            rates_.on_refused(last->organisation, last->cost);
            waiting_.erase(last);
            return engine_decision::refused;
        }
        refuse(last);
    }
    return engine_decision::waiting;
}

std::uint32_t engine_scheduler::unread_tokens(
    const scheduled_request& work) const {
    std::uint32_t unread = work.own_tokens;
    bool kept = true;
    for (const auto& part : work.shared_segments) {
        // A part counts as kept only behind parts that are kept.
        kept = kept && parts_.contains(part.id);
        unread += kept ? 0 : part.tokens;
    }
    return unread;
}

std::uint64_t engine_scheduler::memory_of(const scheduled_request& work) const {
    std::uint64_t tokens = std::uint64_t{work.own_tokens} + work.output_tokens;
    for (const auto& part : work.shared_segments) {
        const auto found = parts_.find(part.id);
        if (found == parts_.end() || found->second.users == 0) {
            tokens += part.tokens;
        }
    }
    return tokens;
}

// Whether new work is before everything that waits.
bool engine_scheduler::goes_first(const scheduled_request& work) {
    return waiting_.empty() ||
           served(work.organisation) < served(next_in_order()->organisation);
}

bool engine_scheduler::has_room(const scheduled_request& work) const {
    if (running_.empty()) {
        return true;
    }
    const double usable =
        fleet_.is_above_fair_share(work.organisation) ? 1 - reserved_part : 1;
    if (static_cast<double>(running_.size()) >= usable * options_.slots) {
        return false;
    }
    const auto memory_limit = static_cast<std::uint64_t>(
        memory_share * static_cast<double>(options_.memory_tokens));
    if (memory_limit > 0 && memory_in_use_ + memory_of(work) > memory_limit) {
        return false;
    }
    return unread_in_flight_ == 0 ||
           unread_in_flight_ + unread_tokens(work) <= usable * prompt_window_;
}

void engine_scheduler::use_parts(const scheduled_request& work) {
    for (const auto& part : work.shared_segments) {
        cached_part& entry = parts_[part.id];
        if (entry.tokens == 0) {
            entry.tokens = part.tokens;
            cached_tokens_ += part.tokens;
        }
        if (entry.users == 0) {
            memory_in_use_ += entry.tokens;
        }
        ++entry.users;
        entry.last_use = clock_.now();
    }
    evict_parts();
}

void engine_scheduler::evict_parts() {
    while (options_.memory_tokens > 0 &&
           cached_tokens_ > options_.memory_tokens) {
        auto oldest = parts_.end();
        for (auto entry = parts_.begin(); entry != parts_.end(); ++entry) {
            if (entry->second.users == 0 &&
                (oldest == parts_.end() ||
                 entry->second.last_use < oldest->second.last_use)) {
                oldest = entry;
            }
        }
        if (oldest == parts_.end()) {
            return;
        }
        cached_tokens_ -= oldest->second.tokens;
        parts_.erase(oldest);
    }
}

void engine_scheduler::grant(scheduled_request work) {
    const std::uint32_t unread = unread_tokens(work);
    rates_.on_granted(work.organisation, work.cost);
    unread_in_flight_ += unread;
    use_parts(work);
    memory_in_use_ += work.own_tokens + work.output_tokens;
    scheduled_request_id id = work.id;
    running_.emplace(std::move(id),
                     granted_work{std::move(work), clock_.now(), unread});
}

void engine_scheduler::adopt(scheduled_request work) {
    if (!contains(work.id)) {
        grant(std::move(work));
    }
}

void engine_scheduler::on_first_event(const scheduled_request_id& id,
                                      base::duration /*since_grant*/,
                                      bool in_time) {
    const auto found = running_.find(id);
    if (found == running_.end() || found->second.first_event_seen) {
        return;
    }
    granted_work& entry = found->second;
    entry.first_event_seen = true;
    unread_in_flight_ -= entry.unread_tokens;
    prompt_window_ = in_time ? prompt_window_ + window_growth_tokens
                             : prompt_window_ * window_cut;
    prompt_window_ = std::clamp(prompt_window_, smallest_prompt_window,
                                largest_prompt_window);
    grant_waiting();
}

void engine_scheduler::finish(
    std::map<scheduled_request_id, granted_work>::iterator entry) {
    const granted_work& ended = entry->second;
    if (!ended.first_event_seen) {
        unread_in_flight_ -= ended.unread_tokens;
    }
    memory_in_use_ -= ended.work.own_tokens + ended.work.output_tokens;
    for (const auto& part : ended.work.shared_segments) {
        cached_part& kept = parts_[part.id];
        if (--kept.users == 0) {
            memory_in_use_ -= kept.tokens;
        }
    }
    running_.erase(entry);
    const base::time_point now = clock_.now();
    if (last_release_ != base::time_point{}) {
        const double interval = seconds(now - last_release_).count();
        release_interval_s_ =
            release_interval_s_ == 0
                ? interval
                : release_interval_s_ +
                      interval_gain * (interval - release_interval_s_);
    }
    last_release_ = now;
}

void engine_scheduler::release(const scheduled_request_id& id) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        std::erase_if(waiting_, [&](const scheduled_request& work) {
            return work.id == id;
        });
        return;
    }
    finish(found);
    grant_waiting();
}

void engine_scheduler::reconcile(const std::string& host,
                                 const std::vector<std::uint64_t>& running,
                                 base::time_point granted_before) {
    auto entry = running_.lower_bound({host, 0});
    while (entry != running_.end() && entry->first.host == host) {
        const auto current = entry++;
        if (current->second.granted_at < granted_before &&
            std::ranges::find(running, current->first.number) ==
                running.end()) {
            finish(current);
        }
    }
    grant_waiting();
}

void engine_scheduler::release_host(const std::string& host) {
    std::erase_if(waiting_, [&](const scheduled_request& work) {
        return work.id.host == host;
    });
    reconcile(host, {}, base::time_point::max());
}

double engine_scheduler::served(const std::string& organisation) const {
    // The engine's own grants order organisations that the fleet served alike,
    // and count before the fleet's sums contain them.
    return fleet_.granted(organisation) + rates_.granted(organisation);
}

std::list<scheduled_request>::iterator engine_scheduler::next_in_order() {
    // Of one organisation, work that still starts in time goes before work that
    // is served late: where it waits all the time, all of it would be late.
    const base::time_point now = clock_.now();
    return std::ranges::min_element(
        waiting_, {}, [&](const scheduled_request& work) {
            return std::pair(served(work.organisation),
                             work.start_deadline < now);
        });
}

std::list<scheduled_request>::iterator engine_scheduler::last_in_order() {
    // The latest arrival of the organisation that was served most.
    auto last = waiting_.begin();
    double most = -1;
    for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
        const double got = served(entry->organisation);
        if (got >= most) {
            most = got;
            last = entry;
        }
    }
    return last;
}

void engine_scheduler::grant_waiting() {
    while (!waiting_.empty()) {
        const auto next = next_in_order();
        if (!has_room(*next)) {
            return;
        }
        scheduled_request work = std::move(*next);
        waiting_.erase(next);
        const scheduled_request_id id = work.id;
        grant(std::move(work));
        hooks_.granted(id);
    }
}

bool engine_scheduler::is_short_of_share(
    const std::string& organisation) const {
    if (fleet_.is_current()) {
        return fleet_.is_underserved(organisation);
    }
    return rates_.granted(organisation) < short_share * rates_.max_granted();
}

base::time_point engine_scheduler::latest_start(
    const scheduled_request& work) const {
    return is_short_of_share(work.organisation)
               ? std::max(work.start_deadline, work.extended_start_deadline)
               : work.start_deadline;
}

bool engine_scheduler::is_hopeless(const scheduled_request& work,
                                   std::size_t ahead) const {
    // On average the next slot is free after one interval, but it may be at any
    // moment, which is worth waiting for where little else is granted.
    const std::size_t intervals =
        is_short_of_share(work.organisation) ? ahead : ahead + 1;
    const seconds wait(release_interval_s_ * static_cast<double>(intervals));
    return clock_.now() + to_duration(wait) > latest_start(work);
}

void engine_scheduler::refuse(std::list<scheduled_request>::iterator entry) {
    const scheduled_request_id id = entry->id;
    const std::string organisation = entry->organisation;
    rates_.on_refused(organisation, entry->cost);
    waiting_.erase(entry);
    hooks_.refused(id, retry_after(organisation));
}

void engine_scheduler::tick() {
    const base::time_point now = clock_.now();
    auto entry = waiting_.begin();
    while (entry != waiting_.end()) {
        const auto current = entry++;
        if (latest_start(*current) < now) {
            refuse(current);
        }
    }
    rates_.prune();
}

base::duration engine_scheduler::retry_after(const std::string& organisation) {
    if (fleet_.is_current()) {
        return std::clamp<base::duration>(fleet_.backlog_time(organisation),
                                          to_duration(shortest_retry),
                                          to_duration(longest_retry));
    }
    const double granted = rates_.granted(organisation);
    const double refused = rates_.refused(organisation);
    const seconds wait = granted > 0 ? seconds(organisation_rates::decay_time) *
                                           (refused / granted)
                                     : longest_retry;
    return to_duration(std::clamp(wait, shortest_retry, longest_retry));
}

}  // namespace bronzehub::overload
