#include "entry/quarantine_link.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bronzehub::entry {
namespace {

using overload::segment_id;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Hashed to choose the arbiter, as the name of an engine is to choose its
// owner. The arbiter serves all failure domains alike.
constexpr std::string_view arbiter_hash_key = "prompt segments";
constexpr std::string_view any_failure_domain;

// Time after which a trial that could not be granted is no longer waited for,
// unless its host asks again.
constexpr milliseconds queued_trial_lifetime{1000};
// Longest time between sending a request and reporting that its engine ended.
constexpr std::chrono::hours max_report_age{1};

// Converts a number of a message to a duration from zero to `limit`.
template <class Duration>
Duration limit_to(std::int64_t count, Duration limit) {
    return std::clamp(Duration(count), Duration(0), limit);
}

}  // namespace

quarantine_link::quarantine_link(host_directory& hosts, base::clock clock,
                                 std::uint64_t incarnation,
                                 quarantine_hooks hooks)
    : hosts_(hosts),
      clock_(clock),
      incarnation_(incarnation),
      hooks_(std::move(hooks)),
      started_at_(clock.now()),
      attribution_(std::move(clock)) {}

const entry_host& quarantine_link::arbiter() {
    const base::time_point now = clock_.now();
    std::erase_if(unresponsive_,
                  [now](const auto& entry) { return entry.second <= now; });
    std::set<std::string, std::less<>> excluded;
    std::ranges::transform(unresponsive_,
                           std::inserter(excluded, excluded.end()),
                           [](const auto& entry) { return entry.first; });
    return hosts_.owner(arbiter_hash_key, any_failure_domain, excluded);
}

bool quarantine_link::acts_as_arbiter() const {
    return last_report_at_ &&
           clock_.now() - *last_report_at_ <= unresponsive_period;
}

base::duration quarantine_link::quarantined_for(segment_span segments) const {
    base::duration longest{};
    if (quarantines_.empty()) {
        return longest;
    }
    for (const segment_id id : segments) {
        const auto found = quarantines_.find(id);
        if (found != quarantines_.end()) {
            longest = std::max(longest, found->second.ends_at - clock_.now());
        }
    }
    return longest;
}

std::vector<segment_id> quarantine_link::quarantined_segments() const {
    std::vector<segment_id> result;
    std::ranges::transform(quarantines_, std::back_inserter(result),
                           [](const auto& entry) { return entry.first; });
    return result;
}

bool quarantine_link::is_restricted(segment_id segment) const {
    const auto found = suspects_.find(segment);
    return found != suspects_.end() &&
           found->second >= overload::crash_attribution::restricting_crashes;
}

bool quarantine_link::needs_clearance(segment_span segments) const {
    return quarantined_for(segments) > base::duration(0) ||
           (!suspects_.empty() &&
            std::ranges::any_of(
                segments, [this](segment_id id) { return is_restricted(id); }));
}

void quarantine_link::wait_for_clearance(std::uint64_t trial,
                                         std::vector<segment_id> segments,
                                         base::time_point deadline,
                                         clearance_callback done) {
    waiting_[trial] = {std::move(segments), deadline, std::move(done), {}};
    decide_waiting();
}

void quarantine_link::end_trial(std::uint64_t trial) {
    const auto waiting = waiting_.extract(trial);
    const bool was_requested =
        !waiting.empty() && waiting.mapped().requested_at.has_value();
    if (trials_.erase(trial) > 0 || was_requested) {
        segment_report_message ended;
        ended.ended_trials = {trial};
        report(std::move(ended));
        decide_waiting();
    }
}

void quarantine_link::decide_waiting() {
    // Of the requests of this host with the same restricted segment, only the
    // first asks for a trial.
    std::set<segment_id> asked_for;
    for (const auto& [trial, segments] : trials_) {
        asked_for.insert(segments.begin(), segments.end());
    }
    std::vector<std::uint64_t> numbers;
    std::ranges::transform(waiting_, std::back_inserter(numbers),
                           [](const auto& entry) { return entry.first; });
    const base::time_point now = clock_.now();
    for (const std::uint64_t number : numbers) {
        const auto found = waiting_.find(number);
        if (found == waiting_.end()) {
            continue;  // A callback ended it.
        }
        waiting_request& request = found->second;
        std::vector<segment_id> restricted;
        std::ranges::copy_if(
            request.segments, std::back_inserter(restricted),
            [this](segment_id id) { return is_restricted(id); });
        if (quarantined_for(request.segments) > base::duration(0)) {
            finish_wait(number, segment_clearance::quarantined);
        } else if (restricted.empty()) {
            finish_wait(number, segment_clearance::unrestricted);
        } else if (request.deadline <= now) {
            finish_wait(number, segment_clearance::timed_out);
        } else if (std::ranges::none_of(restricted, [&](segment_id id) {
                       return asked_for.contains(id);
                   })) {
            asked_for.insert(restricted.begin(), restricted.end());
            if (!request.requested_at ||
                now - *request.requested_at >= trial_request_interval) {
                request.requested_at = now;
                segment_report_message asked;
                asked.trials = {{number, request.segments}};
                report(std::move(asked));
            }
        }
    }
}

void quarantine_link::finish_wait(std::uint64_t trial,
                                  segment_clearance clearance) {
    auto node = waiting_.extract(trial);
    waiting_request& request = node.mapped();
    if (clearance == segment_clearance::trial) {
        ++trial_count_;
        trials_[trial] = request.segments;
    } else if (request.requested_at) {
        segment_report_message ended;
        ended.ended_trials = {trial};
        report(std::move(ended));
    }
    request.done(clearance);
}

void quarantine_link::on_crash(overload::engine_crash crash) {
    if (crash.segments.empty()) {
        return;
    }
    ++crashes_reported_;
    constexpr std::size_t limit =
        overload::crash_attribution::max_segments_per_crash;
    if (crash.segments.size() > limit) {
        crash.segments.erase(crash.segments.begin() + limit / 2,
                             crash.segments.end() - limit / 2);
    }
    segment_report_message crashed;
    crashed.crashes = {
        {std::move(crash.engine), std::move(crash.segments),
         duration_cast<microseconds>(clock_.now() - crash.sent_at).count(),
         hosts_.self().failure_domain, crash.is_local}};
    report(std::move(crashed));
}

void quarantine_link::on_first_event(segment_span segments) {
    if (suspects_.empty()) {
        return;
    }
    segment_report_message cleared;
    std::ranges::copy_if(
        segments, std::back_inserter(cleared.cleared),
        [this](segment_id id) { return suspects_.erase(id) > 0; });
    if (!cleared.cleared.empty()) {
        report(std::move(cleared));
        decide_waiting();
    }
}

void quarantine_link::report(segment_report_message report) {
    report.number = next_report_++;
    if (is_arbiter()) {
        on_report(hosts_.self().name, "", report);
        return;
    }
    if (pending_.size() == max_pending_reports) {
        pending_.pop_front();
    }
    pending_.push_back({std::move(report), clock_.now(), {}, "", 0});
    send_report(pending_.back());
}

void quarantine_link::send_report(pending_report& pending) {
    const entry_host& receiver = arbiter();
    pending.arbiter = receiver.name;
    pending.sent_at = clock_.now();
    ++pending.attempts;
    segment_report_message report = pending.report;
    for (segment_crash_message& crash : report.crashes) {
        crash.sent_before_us +=
            duration_cast<microseconds>(clock_.now() - pending.created_at)
                .count();
    }
    send(receiver.address, report);
}

void quarantine_link::resend_reports() {
    const base::time_point now = clock_.now();
    std::vector<pending_report> overdue;
    std::erase_if(pending_, [&](pending_report& pending) {
        if (now - pending.sent_at < response_timeout) {
            return false;
        }
        overdue.push_back(std::move(pending));
        return true;
    });
    for (pending_report& pending : overdue) {
        const bool is_news =
            unresponsive_
                .insert_or_assign(pending.arbiter, now + unresponsive_period)
                .second;
        arbiters_passed_over_ += is_news ? 1 : 0;
        if (is_arbiter()) {
            on_report(hosts_.self().name, "", pending.report);
        } else if (pending.attempts < max_attempts) {
            pending_.push_back(std::move(pending));
            send_report(pending_.back());
        }
    }
}

void quarantine_link::on_report(const std::string& host,
                                const std::string& address,
                                const segment_report_message& report) {
    const base::time_point now = clock_.now();
    const bool is_remote = host != hosts_.self().name;
    last_report_at_ = now;
    for (const segment_crash_message& crash : report.crashes) {
        const overload::engine_crash decoded{
            crash.engine, crash.segments,
            now - limit_to<microseconds>(crash.sent_before_us, max_report_age),
            crash.failure_domain, crash.is_local};
        if (quarantined_for(crash.segments) > base::duration(0)) {
            attribution_.on_explained_crash(decoded);
        } else if (const auto culprit = attribution_.on_crash(decoded)) {
            add_quarantine(*culprit, quarantine_lifetime, false,
                           hosts_.self().name);
            last_published_at_ = {};
        }
    }
    attribution_.on_first_event(report.cleared);
    for (const std::uint64_t ended : report.ended_trials) {
        const overload::trial_key key{host, ended};
        attribution_.end_trial(key);
        std::erase_if(queued_trials_,
                      [&](const auto& queued) { return queued.key == key; });
    }
    if (!report.crashes.empty() || !report.cleared.empty()) {
        changed_ = true;
        suspects_.clear();
        for (const auto& suspect : attribution_.suspects()) {
            suspects_[suspect.id] = suspect.crashes;
        }
    }
    if (is_remote) {
        segment_table_message table = make_table();
        table.acknowledged = report.number;
        send(address, table);
    }
    for (const segment_trial_message& trial : report.trials) {
        request_as_arbiter({{host, trial.number},
                            address,
                            trial.segments,
                            now + queued_trial_lifetime});
    }
    grant_queued_trials();
    if (changed_) {
        decide_waiting();
    }
}

void quarantine_link::request_as_arbiter(queued_trial request) {
    std::erase_if(queued_trials_, [&](const queued_trial& queued) {
        return queued.key == request.key;
    });
    if (attribution_.try_begin_trial(request.key, request.segments)) {
        grant(request.key, request.address);
    } else if (queued_trials_.size() < max_pending_reports) {
        queued_trials_.push_back(std::move(request));
    }
}

void quarantine_link::grant_queued_trials() {
    const base::time_point now = clock_.now();
    std::vector<queued_trial> granted;
    std::erase_if(queued_trials_, [&](const queued_trial& queued) {
        if (queued.expires_at <= now) {
            return true;
        }
        if (attribution_.try_begin_trial(queued.key, queued.segments)) {
            granted.push_back(queued);
            return true;
        }
        return false;
    });
    for (const queued_trial& trial : granted) {
        grant(trial.key, trial.address);
    }
}

void quarantine_link::grant(const overload::trial_key& key,
                            const std::string& address) {
    if (key.host != hosts_.self().name) {
        segment_table_message table = make_table();
        table.granted_trials = {key.number};
        send(address, table);
    } else if (waiting_.contains(key.number)) {
        finish_wait(key.number, segment_clearance::trial);
    } else {
        attribution_.end_trial(key);
    }
}

segment_table_message quarantine_link::make_table() {
    segment_table_message result;
    result.complete = complete_;
    std::ranges::transform(
        attribution_.suspects(), std::back_inserter(result.suspects),
        [](const overload::suspect_segment& suspect) {
            return suspect_segment_message{suspect.id, suspect.crashes};
        });
    std::ranges::transform(
        quarantines_, std::back_inserter(result.quarantined),
        [this](const auto& entry) {
            return quarantined_segment_message{
                entry.first,
                duration_cast<milliseconds>(entry.second.ends_at - clock_.now())
                    .count(),
                entry.second.stored};
        });
    return result;
}

void quarantine_link::publish_if_due() {
    const base::time_point now = clock_.now();
    const base::duration since_last = now - last_published_at_;
    const base::duration min_interval =
        min_publish_interval +
        publish_interval_per_host * static_cast<int>(hosts_.host_count());
    const bool has_content = !suspects_.empty() || !quarantines_.empty();
    if (!(changed_ && since_last >= min_interval) &&
        !(has_content && since_last >= refresh_interval)) {
        return;
    }
    last_published_at_ = now;
    changed_ = false;
    if (!acts_as_arbiter() && !is_arbiter()) {
        return;
    }
    const segment_table_message table = make_table();
    for (const entry_host& peer : hosts_.peers()) {
        send(peer.address, table);
    }
}

void quarantine_link::on_table(const std::string& host,
                               const segment_table_message& table) {
    unresponsive_.erase(host);
    std::erase_if(pending_, [&](const pending_report& pending) {
        return pending.report.number == table.acknowledged;
    });
    for (const quarantined_segment_message& each : table.quarantined) {
        add_quarantine(
            each.id,
            limit_to<milliseconds>(each.remaining_ms, quarantine_lifetime),
            each.stored, host);
    }
    complete_ = complete_ || table.complete;
    if (host == arbiter().name) {
        std::vector<overload::suspect_segment> suspects;
        suspects_.clear();
        for (const suspect_segment_message& each : table.suspects) {
            if (suspects_.size() < overload::crash_attribution::max_suspects) {
                suspects_[each.id] = each.crashes;
                suspects.push_back({each.id, each.crashes});
            }
        }
        if (!acts_as_arbiter()) {
            attribution_.adopt(suspects);
        }
    }
    for (const std::uint64_t trial : table.granted_trials) {
        if (waiting_.contains(trial)) {
            finish_wait(trial, segment_clearance::trial);
        } else if (!trials_.contains(trial)) {
            segment_report_message ended;
            ended.ended_trials = {trial};
            report(std::move(ended));
        }
    }
    decide_waiting();
}

void quarantine_link::add_quarantine(segment_id segment,
                                     base::duration remaining, bool stored,
                                     std::string_view source) {
    if (remaining <= base::duration(0)) {
        return;
    }
    const auto [found, is_new] = quarantines_.try_emplace(
        segment, quarantine{clock_.now() + remaining, stored});
    found->second.stored = found->second.stored || stored;
    if (!is_new) {
        return;
    }
    suspects_.erase(segment);
    attribution_.on_first_event(segment_span(&segment, 1));
    if (quarantines_.size() > max_quarantined) {
        quarantines_.erase(std::ranges::min_element(
            quarantines_, {},
            [](const auto& entry) { return entry.second.ends_at; }));
    }
    hooks_.on_quarantined(segment, source);
}

void quarantine_link::on_store_read(
    std::span<const std::pair<segment_id, base::duration>> remaining) {
    complete_ = true;
    for (const auto& [segment, duration] : remaining) {
        add_quarantine(segment, duration, true, "store");
    }
}

void quarantine_link::on_stored(segment_id segment) {
    const auto found = quarantines_.find(segment);
    if (found != quarantines_.end()) {
        found->second.stored = true;
        changed_ = true;
    }
    // The next segment need not wait.
    last_store_write_ = {};
}

void quarantine_link::store_quarantined() {
    const base::time_point now = clock_.now();
    if (now - last_store_write_ < store_retry_delay) {
        return;
    }
    const auto unstored = std::ranges::find_if(
        quarantines_, [](const auto& entry) { return !entry.second.stored; });
    if (unstored != quarantines_.end() && is_arbiter()) {
        last_store_write_ = now;
        hooks_.store(unstored->first, unstored->second.ends_at - now);
    }
}

void quarantine_link::learn_quarantined() {
    const base::time_point now = clock_.now();
    const base::duration since_start = now - started_at_;
    const bool others_known = hosts_.host_count() > 1;
    if (since_start > max_start_wait || (others_known && is_arbiter())) {
        if (now - last_store_read_ >= store_retry_delay) {
            last_store_read_ = now;
            hooks_.read_store();
        }
    }
    if (others_known && !is_arbiter() &&
        now - last_start_request_ >= start_request_interval) {
        last_start_request_ = now;
        report({});
    }
}

void quarantine_link::tick() {
    if (!complete_) {
        learn_quarantined();
    }
    if (!pending_.empty()) {
        resend_reports();
    }
    if (!queued_trials_.empty()) {
        grant_queued_trials();
    }
    if (!waiting_.empty()) {
        decide_waiting();
    }
    if (!quarantines_.empty()) {
        std::erase_if(quarantines_, [now = clock_.now()](const auto& entry) {
            return entry.second.ends_at <= now;
        });
        store_quarantined();
    }
    publish_if_due();
}

void quarantine_link::on_message(const std::string& from,
                                 const host_message& message) {
    switch (static_cast<message_type>(message.type)) {
        case message_type::segment_report:
            if (!message.segment_reports.empty()) {
                on_report(message.host, from, message.segment_reports.front());
            }
            break;
        case message_type::segment_table:
            if (!message.segment_tables.empty()) {
                on_table(message.host, message.segment_tables.front());
            }
            break;
        default:
            break;
    }
}

host_message quarantine_link::make_message(message_type type) const {
    host_message result;
    result.type = static_cast<std::uint8_t>(type);
    result.host = hosts_.self().name;
    result.incarnation = incarnation_;
    return result;
}

void quarantine_link::send(const std::string& address,
                           const segment_report_message& report) {
    host_message message = make_message(message_type::segment_report);
    message.segment_reports = {report};
    hooks_.send(address, encode_message(message));
}

void quarantine_link::send(const std::string& address,
                           const segment_table_message& table) {
    host_message message = make_message(message_type::segment_table);
    message.segment_tables = {table};
    hooks_.send(address, encode_message(message));
}

quarantine_link::statistics quarantine_link::read_statistics() const {
    return {suspects_.size(), quarantines_.size(), waiting_.size(),
            trial_count_,     crashes_reported_,   arbiters_passed_over_};
}

}  // namespace bronzehub::entry
