#include "overload/engine_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bronzehub::overload {
namespace {

using seconds = std::chrono::duration<double>;

// Weight of a new sample in the smoothed interval between grants.
constexpr double interval_sample_weight = 0.1;
// The prefill window grows with each first event in time and shrinks with each
// late one. Both are factors, so that one first event in
// 1 + log(0.9) / log(1.005) = 22 is late in equilibrium, whatever the size of
// the window.
constexpr double window_increase_factor = 1.005;
constexpr double window_decrease_factor = 0.9;
// Limits of Retry-After. After a shorter pause the load is still the same; a
// longer one would predict load that has not arrived yet.
constexpr seconds min_retry_after{0.25};
constexpr seconds max_retry_after{20};

base::duration to_duration(seconds value) {
    return std::chrono::duration_cast<base::duration>(value);
}

}  // namespace

engine_scheduler::engine_scheduler(engine_capacity capacity,
                                   const fleet_shares& fleet, base::clock clock,
                                   scheduler_callbacks callbacks)
    : capacity_(capacity),
      fleet_(fleet),
      clock_(clock),
      callbacks_(std::move(callbacks)),
      rates_(std::move(clock)) {}

bool engine_scheduler::contains(const scheduled_request_id& id) const {
    return running_.contains(id) ||
           std::ranges::find(waiting_, id, &scheduled_request::id) !=
               waiting_.end();
}

engine_decision engine_scheduler::submit(scheduled_request request) {
    if (running_.contains(request.id)) {
        return engine_decision::granted;
    }
    if (std::ranges::find(waiting_, request.id, &scheduled_request::id) !=
        waiting_.end()) {
        return engine_decision::waiting;
    }
    if (is_unreachable() && !is_probe_due()) {
        return engine_decision::unreachable;
    }
    if (fits(request) && precedes_all_waiting(request)) {
        grant(std::move(request));
        return engine_decision::granted;
    }
    if (!request.may_wait) {
        return engine_decision::refused;
    }
    const scheduled_request_id id = request.id;
    if (waiting_.empty()) {
        queue_began_at_ = clock_.now();
    }
    waiting_.push_back(std::move(request));
    // If the waiting requests can't all start in time, a request of the
    // organisation with the highest granted cost is refused.
    const auto last = last_request();
    if (would_start_too_late(*last, waiting_.size() - 1)) {
        if (last->id == id) {
            rates_.on_refused(last->organisation, last->cost);
            waiting_.erase(last);
            return engine_decision::refused;
        }
        refuse(last);
    }
    return engine_decision::waiting;
}

std::uint32_t engine_scheduler::prefill_tokens(
    const scheduled_request& request) const {
    std::uint32_t tokens = request.own_tokens;
    bool cached = true;
    for (const auto& segment : request.shared_segments) {
        // The engine reuses a cached segment only if all segments before it are
        // cached too.
        cached = cached && cached_segments_.contains(segment.id);
        tokens += cached ? 0 : segment.tokens;
    }
    return tokens;
}

std::uint64_t engine_scheduler::required_memory(
    const scheduled_request& request) const {
    std::uint64_t tokens =
        std::uint64_t{request.own_tokens} + request.output_tokens;
    for (const auto& segment : request.shared_segments) {
        const auto found = cached_segments_.find(segment.id);
        if (found == cached_segments_.end() ||
            found->second.reference_count == 0 || found->second.tokens == 0) {
            tokens += segment.tokens;
        }
    }
    return tokens;
}

bool engine_scheduler::precedes_all_waiting(const scheduled_request& request) {
    return waiting_.empty() || granted_cost(request.organisation) <
                                   granted_cost(next_request()->organisation);
}

bool engine_scheduler::fits(const scheduled_request& request) const {
    if (running_.empty()) {
        return true;
    }
    const double usable_fraction =
        fleet_.is_above_fair_share(request.organisation) ? 1 - reserved_fraction
                                                         : 1;
    if (static_cast<double>(running_.size()) >=
        usable_fraction * capacity_.slots) {
        return false;
    }
    const auto memory_limit = static_cast<std::uint64_t>(
        usable_memory_fraction * static_cast<double>(capacity_.memory_tokens));
    if (memory_limit > 0 &&
        memory_in_use_ + required_memory(request) > memory_limit) {
        return false;
    }
    return prefill_tokens_in_flight_ == 0 ||
           prefill_tokens_in_flight_ + prefill_tokens(request) <=
               usable_fraction * prefill_window_;
}

void engine_scheduler::reference_segments(const scheduled_request& request) {
    for (const auto& segment : request.shared_segments) {
        cached_segment& entry = cached_segments_[segment.id];
        if (entry.reference_count == 0) {
            memory_in_use_ += entry.tokens;
        }
        if (entry.tokens == 0) {
            // The requests that use the segment may have stated no tokens.
            entry.tokens = segment.tokens;
            cached_tokens_ += segment.tokens;
            memory_in_use_ += segment.tokens;
        }
        ++entry.reference_count;
        entry.last_use = clock_.now();
    }
    evict_segments();
}

void engine_scheduler::evict_segments() {
    while ((capacity_.memory_tokens > 0 &&
            cached_tokens_ > capacity_.memory_tokens) ||
           cached_segments_.size() > max_cached_segments) {
        auto oldest = cached_segments_.end();
        for (auto entry = cached_segments_.begin();
             entry != cached_segments_.end(); ++entry) {
            if (entry->second.reference_count == 0 &&
                (oldest == cached_segments_.end() ||
                 entry->second.last_use < oldest->second.last_use)) {
                oldest = entry;
            }
        }
        if (oldest == cached_segments_.end()) {
            return;
        }
        cached_tokens_ -= oldest->second.tokens;
        cached_segments_.erase(oldest);
    }
}

void engine_scheduler::grant(scheduled_request request) {
    const std::uint32_t tokens = prefill_tokens(request);
    rates_.on_granted(request.organisation, request.cost);
    prefill_tokens_in_flight_ += tokens;
    reference_segments(request);
    memory_in_use_ += request.own_tokens + request.output_tokens;
    last_grant_at_ = clock_.now();
    scheduled_request_id id = request.id;
    running_.emplace(std::move(id),
                     running_request{std::move(request), clock_.now(), tokens});
}

void engine_scheduler::adopt(scheduled_request request) {
    if (!contains(request.id)) {
        grant(std::move(request));
    }
}

void engine_scheduler::on_first_event(const scheduled_request_id& id,
                                      base::duration /*since_grant*/,
                                      bool in_time) {
    const auto found = running_.find(id);
    if (found == running_.end() || found->second.first_event_seen) {
        return;
    }
    running_request& entry = found->second;
    entry.first_event_seen = true;
    unreached_count_ = 0;
    prefill_tokens_in_flight_ -= entry.prefill_tokens;
    prefill_window_ *=
        in_time ? window_increase_factor : window_decrease_factor;
    prefill_window_ =
        std::clamp(prefill_window_, min_prefill_window, max_prefill_window);
    grant_waiting();
}

void engine_scheduler::finish(
    std::map<scheduled_request_id, running_request>::iterator entry) {
    const running_request& ended = entry->second;
    if (!ended.first_event_seen) {
        prefill_tokens_in_flight_ -= ended.prefill_tokens;
    }
    memory_in_use_ -= ended.request.own_tokens + ended.request.output_tokens;
    for (const auto& segment : ended.request.shared_segments) {
        const auto cached = cached_segments_.find(segment.id);
        if (--cached->second.reference_count == 0) {
            memory_in_use_ -= cached->second.tokens;
            if (cached->second.tokens == 0) {
                cached_segments_.erase(cached);
            }
        }
    }
    running_.erase(entry);
}

void engine_scheduler::record_queue_grant() {
    // While requests wait, the time since the last grant is what the next one
    // has to wait, whether slots, memory or the prefill window limit it.
    const double interval =
        seconds(clock_.now() - std::max(last_grant_at_, queue_began_at_))
            .count();
    mean_grant_interval_s_ =
        mean_grant_interval_s_ == 0
            ? interval
            : mean_grant_interval_s_ +
                  interval_sample_weight * (interval - mean_grant_interval_s_);
}

void engine_scheduler::release(const scheduled_request_id& id) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        std::erase_if(waiting_, [&](const scheduled_request& request) {
            return request.id == id;
        });
        return;
    }
    finish(found);
    grant_waiting();
}

bool engine_scheduler::is_probe_due() const {
    return clock_.now() >= next_probe_at_ &&
           std::ranges::all_of(running_, [](const auto& entry) {
               return entry.second.first_event_seen;
           });
}

void engine_scheduler::release_unreached(const scheduled_request_id& id) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        release(id);
        return;
    }
    rates_.on_grant_unused(found->second.request.organisation,
                           found->second.request.cost);
    finish(found);
    ++unreached_count_;
    if (!is_unreachable()) {
        grant_waiting();
        return;
    }
    probe_delay_ =
        unreached_count_ == unreached_limit
            ? base::duration(first_probe_delay)
            : std::min<base::duration>(2 * probe_delay_, max_probe_delay);
    next_probe_at_ = clock_.now() + probe_delay_;
    give_up_waiting(callbacks_.unreachable);
}

void engine_scheduler::give_up_waiting(
    const std::function<void(const scheduled_request_id&)>& callback) {
    // The requests may still find a slot on another engine in time.
    const std::list<scheduled_request> given_up = std::exchange(waiting_, {});
    for (const scheduled_request& request : given_up) {
        callback(request.id);
    }
}

void engine_scheduler::begin_cold() {
    prefill_window_ = min_prefill_window;
    give_up_waiting(callbacks_.paced);
}

void engine_scheduler::end_cold() {
    prefill_window_ = std::max(prefill_window_, initial_prefill_window);
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
    std::erase_if(waiting_, [&](const scheduled_request& request) {
        return request.id.host == host;
    });
    reconcile(host, {}, base::time_point::max());
}

double engine_scheduler::granted_cost(const std::string& organisation) const {
    // The grants of this engine order organisations with equal grants in the
    // fleet, and count before the sums of the fleet include them.
    return fleet_.granted(organisation) + rates_.granted(organisation);
}

std::list<scheduled_request>::iterator engine_scheduler::next_request() {
    // Of one organisation, requests that can still start in time come before
    // late ones. In order of arrival, an organisation that always has waiting
    // requests would only be served late.
    const base::time_point now = clock_.now();
    return std::ranges::min_element(
        waiting_, {}, [&](const scheduled_request& request) {
            return std::pair(granted_cost(request.organisation),
                             request.start_deadline < now);
        });
}

std::list<scheduled_request>::iterator engine_scheduler::last_request() {
    // The latest arrival of the organisation with the highest granted cost.
    auto last = waiting_.begin();
    double highest = -1;
    for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
        const double cost = granted_cost(entry->organisation);
        if (cost >= highest) {
            highest = cost;
            last = entry;
        }
    }
    return last;
}

void engine_scheduler::grant_waiting() {
    while (!waiting_.empty()) {
        const auto next = next_request();
        if (!fits(*next) || (is_unreachable() && !is_probe_due())) {
            return;
        }
        scheduled_request request = std::move(*next);
        waiting_.erase(next);
        const scheduled_request_id id = request.id;
        record_queue_grant();
        grant(std::move(request));
        callbacks_.granted(id);
    }
}

bool engine_scheduler::is_underserved(const std::string& organisation) const {
    if (fleet_.is_current()) {
        return fleet_.is_underserved(organisation);
    }
    return rates_.granted(organisation) <
           underserved_fraction * rates_.max_granted();
}

base::time_point engine_scheduler::latest_start(
    const scheduled_request& request) const {
    return is_underserved(request.organisation)
               ? std::max(request.start_deadline,
                          request.extended_start_deadline)
               : request.start_deadline;
}

bool engine_scheduler::would_start_too_late(const scheduled_request& request,
                                            std::size_t ahead) const {
    // On average the next slot becomes free after one interval, but it may do
    // so at any moment. Requests of underserved organisations wait for that
    // chance.
    const std::size_t intervals =
        is_underserved(request.organisation) ? ahead : ahead + 1;
    const seconds wait(mean_grant_interval_s_ * static_cast<double>(intervals));
    return clock_.now() + to_duration(wait) > latest_start(request);
}

void engine_scheduler::refuse(std::list<scheduled_request>::iterator entry) {
    const scheduled_request_id id = entry->id;
    const std::string organisation = entry->organisation;
    rates_.on_refused(organisation, entry->cost);
    waiting_.erase(entry);
    callbacks_.refused(id, retry_after(organisation));
}

void engine_scheduler::tick() {
    const base::time_point now = clock_.now();
    const auto is_late = [&](const scheduled_request& request) {
        return latest_start(request) < now;
    };
    // Each refusal calls back, which can end any of the waiting requests.
    std::vector<scheduled_request_id> late;
    for (const scheduled_request& request : waiting_) {
        if (is_late(request)) {
            late.push_back(request.id);
        }
    }
    for (const scheduled_request_id& id : late) {
        const auto entry =
            std::ranges::find(waiting_, id, &scheduled_request::id);
        if (entry != waiting_.end() && is_late(*entry)) {
            refuse(entry);
        }
    }
    rates_.prune();
}

base::duration engine_scheduler::retry_after(const std::string& organisation) {
    if (fleet_.is_current()) {
        return std::clamp<base::duration>(fleet_.backlog_time(organisation),
                                          to_duration(min_retry_after),
                                          to_duration(max_retry_after));
    }
    const double granted = rates_.granted(organisation);
    const double refused = rates_.refused(organisation);
    const seconds wait = granted > 0 ? seconds(organisation_rates::decay_time) *
                                           (refused / granted)
                                     : max_retry_after;
    return to_duration(std::clamp(wait, min_retry_after, max_retry_after));
}

}  // namespace bronzehub::overload
