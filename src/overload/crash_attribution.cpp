#include "overload/crash_attribution.hpp"

#include <algorithm>
#include <iterator>

namespace bronzehub::overload {
namespace {

// Returns the segments that come under suspicion, each once, in order.
std::vector<segment_id> limit_segments(std::span<const segment_id> segments) {
    constexpr std::size_t limit = crash_attribution::max_segments_per_crash;
    std::vector<segment_id> result;
    std::ranges::copy_if(
        segments, std::back_inserter(result), [&](segment_id id) {
            return std::ranges::find(result, id) == result.end();
        });
    if (result.size() > limit) {
        result.erase(result.begin() + limit / 2, result.end() - limit / 2);
    }
    return result;
}

}  // namespace

crash_attribution::crash_record& crash_attribution::find_or_create_record(
    const engine_crash& crash) {
    // A request that was sent after the recorded end reached a new start of the
    // engine.
    const auto found =
        std::ranges::find_if(records_, [&](const crash_record& record) {
            return record.engine == crash.engine &&
                   crash.sent_at <= record.recorded_at;
        });
    if (found != records_.end()) {
        return *found;
    }
    if (records_.size() == max_recorded_crashes) {
        records_.pop_front();
    }
    return records_.emplace_back(
        crash_record{next_crash_++, crash.engine, clock_.now(), {}, false});
}

std::optional<segment_id> crash_attribution::on_crash(
    const engine_crash& crash) {
    crash_record& record = find_or_create_record(crash);
    const std::vector<segment_id> segments = limit_segments(crash.segments);
    record.segments.insert(segments.begin(), segments.end());
    if (record.explained) {
        return std::nullopt;
    }
    for (const segment_id id : segments) {
        count_crash(id, record, crash);
    }
    const auto culprit = choose_culprit(segments);
    if (culprit) {
        quarantine(*culprit);
    }
    prune();
    return culprit;
}

void crash_attribution::count_crash(segment_id segment,
                                    const crash_record& record,
                                    const engine_crash& crash) {
    suspicion& suspected = suspicions_[segment];
    if (suspected.crashes.empty()) {
        suspected.first_witness_domain = crash.witness_domain;
        suspected.is_attested = false;
    }
    suspected.is_attested =
        suspected.is_attested || crash.is_local ||
        crash.witness_domain.empty() ||
        crash.witness_domain != suspected.first_witness_domain;
    const bool is_sequential =
        suspected.crashes.empty() || crash.sent_at > suspected.last_crash_at;
    if (!is_sequential || std::ranges::find(suspected.crashes, record.number) !=
                              suspected.crashes.end()) {
        return;
    }
    suspected.crashes.push_back(record.number);
    suspected.last_crash_at = clock_.now();
}

bool crash_attribution::is_proven(const suspicion& suspected) {
    return suspected.crashes.size() >=
           (suspected.is_attested ? quarantining_crashes : one_sided_crashes);
}

std::optional<segment_id> crash_attribution::choose_culprit(
    std::span<const segment_id> segments) const {
    std::vector<segment_id> candidates;
    std::ranges::copy_if(
        segments, std::back_inserter(candidates),
        [this](segment_id id) { return is_proven(suspicions_.at(id)); });
    if (candidates.empty()) {
        return std::nullopt;
    }
    // The next crashes will show whether a segment that is behind the
    // candidates in the prompt is the cause.
    const auto last = std::ranges::find(segments, candidates.back());
    const bool may_be_explained =
        std::any_of(std::next(last), segments.end(), [this](segment_id id) {
            return suspicions_.at(id).crashes.size() >= restricting_crashes;
        });
    if (may_be_explained && suspicions_.at(candidates.back()).crashes.size() <
                                max_unexplained_crashes) {
        return std::nullopt;
    }
    const auto exonerated = std::ranges::find_if(
        candidates,
        [this](segment_id id) { return suspicions_.at(id).was_exonerated; });
    return exonerated != candidates.end() ? *exonerated : candidates.back();
}

void crash_attribution::quarantine(segment_id culprit) {
    suspicions_.erase(culprit);
    for (auto& [id, suspected] : suspicions_) {
        suspected.was_exonerated =
            suspected.was_exonerated || is_proven(suspected);
    }
    for (crash_record& record : records_) {
        if (record.segments.contains(culprit)) {
            explain(record);
        }
    }
}

void crash_attribution::explain(crash_record& record) {
    record.explained = true;
    for (auto& [id, suspected] : suspicions_) {
        std::erase(suspected.crashes, record.number);
    }
}

void crash_attribution::on_explained_crash(const engine_crash& crash) {
    explain(find_or_create_record(crash));
}

void crash_attribution::on_first_event(std::span<const segment_id> segments) {
    for (const segment_id id : segments) {
        const auto found = suspicions_.find(id);
        if (found != suspicions_.end()) {
            found->second.crashes.clear();
            found->second.was_exonerated = false;
        }
    }
}

bool crash_attribution::is_restricted(segment_id segment) const {
    const auto found = suspicions_.find(segment);
    return found != suspicions_.end() &&
           found->second.crashes.size() >= restricting_crashes;
}

bool crash_attribution::try_begin_trial(const trial_key& trial,
                                        std::span<const segment_id> segments) {
    const base::time_point now = clock_.now();
    std::erase_if(trials_, [now](const auto& entry) {
        return entry.second.expires_at <= now;
    });
    std::vector<segment_id> restricted;
    std::ranges::copy_if(segments, std::back_inserter(restricted),
                         [this](segment_id id) { return is_restricted(id); });
    const bool conflicts = std::ranges::any_of(trials_, [&](const auto& entry) {
        return entry.first != trial &&
               std::ranges::find_first_of(entry.second.segments, restricted) !=
                   entry.second.segments.end();
    });
    if (conflicts) {
        return false;
    }
    trials_[trial] = {std::move(restricted), now + trial_timeout};
    return true;
}

std::vector<suspect_segment> crash_attribution::suspects() {
    prune();
    std::vector<suspect_segment> result;
    for (const auto& [id, suspected] : suspicions_) {
        if (!suspected.crashes.empty()) {
            result.push_back(
                {id, static_cast<std::uint32_t>(suspected.crashes.size())});
        }
    }
    return result;
}

void crash_attribution::adopt(std::span<const suspect_segment> suspects) {
    suspicions_.clear();
    records_.clear();
    trials_.clear();
    for (const suspect_segment& suspect :
         suspects.first(std::min(suspects.size(), std::size_t{max_suspects}))) {
        suspicion& adopted = suspicions_[suspect.id];
        adopted.last_crash_at = clock_.now();
        // The other host knew where the crashes were seen.
        adopted.is_attested = true;
        for (std::uint32_t i = 0;
             i < std::min(suspect.crashes, quarantining_crashes - 1); ++i) {
            adopted.crashes.push_back(next_crash_++);
        }
    }
}

void crash_attribution::prune() {
    const base::time_point now = clock_.now();
    std::erase_if(suspicions_, [now](const auto& entry) {
        return now - entry.second.last_crash_at > suspicion_lifetime;
    });
    while (suspicions_.size() > max_suspects) {
        suspicions_.erase(
            std::ranges::min_element(suspicions_, {}, [](const auto& entry) {
                return std::pair(entry.second.crashes.size(),
                                 entry.second.last_crash_at);
            }));
    }
}

}  // namespace bronzehub::overload
