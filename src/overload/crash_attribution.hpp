// Finds the shared prompt segment that ends the engines which run it.
//
// Load pattern: requests of many callers, at any host, contain a prompt segment
// that ends each engine when it begins to write its response. Without a limit
// they end one engine after another.
//
// An engine that ends casts suspicion on the shared segments of all requests on
// it that had no event yet. Counting these ends alone would also find segments
// that are in most requests, above all when engines end together for another
// reason, so four rules apply:
//
// - An event of any request clears its segments.
// - Requests that were sent before the last end that counts against a segment
//   add nothing, so ends at the same time count once.
// - Ends that only hosts of one failure domain saw, and only at engines of
//   others, count for less, because a fault of their links may look alike.
// - From `restricting_crashes` on, the requests with a segment are sent one at
// a
//   time. Only this trial can add to the count.
//
// At `quarantining_crashes` a segment is quarantined, and the ends that it
// explains no longer count against others. If several segments reach the limit
// together, the last in the prompt, which the fewest requests share, is chosen;
// if that leaves one to reach the limit again without an event, the latter is.
// One that reaches the limit first waits for a restricted one behind it.
#ifndef BRONZEHUB_OVERLOAD_CRASH_ATTRIBUTION_HPP
#define BRONZEHUB_OVERLOAD_CRASH_ATTRIBUTION_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.hpp"

namespace bronzehub::overload {

using segment_id = std::uint64_t;

// An engine ended before the first event of a request.
struct engine_crash {
    // Instance of the engine. An engine that starts again may have the same
    // name until it is listed anew.
    std::string engine;
    // Shared segments of the request, in the order of its prompt.
    std::vector<segment_id> segments;
    // When the request was sent to the engine.
    base::time_point sent_at;
    // Failure domain of the host that saw it; empty if it isn't known.
    std::string witness_domain;
    // The engine is in the same failure domain.
    bool is_local = false;
};

struct suspect_segment {
    segment_id id = 0;
    // Ends of engines that count against the segment.
    std::uint32_t crashes = 0;
};

// Identifies a request of a host.
struct trial_key {
    std::string host;
    std::uint64_t number = 0;
    auto operator<=>(const trial_key&) const = default;
};

// Not thread-safe. State is bounded; the segments under the least suspicion are
// forgotten first.
class crash_attribution {
public:
    static constexpr std::uint32_t restricting_crashes = 2;
    static constexpr std::uint32_t quarantining_crashes = 4;
    // The same if no second failure domain has seen an end, nor any host an end
    // in its own. The bound for a segment whose callers all reach one domain.
    static constexpr std::uint32_t one_sided_crashes = 6;
    // A segment is quarantined from here on even if another one behind it in
    // the prompt is restricted, too.
    static constexpr std::uint32_t max_unexplained_crashes = 8;
    // A segment without further crashes is no longer suspect after this time.
    static constexpr std::chrono::minutes suspicion_lifetime{5};
    // A trial whose host does not report its end has ended after this time.
    static constexpr std::chrono::seconds trial_timeout{3};
    static constexpr std::size_t max_suspects = 256;
    static constexpr std::size_t max_recorded_crashes = 64;
    // Segments of one request that come under suspicion: the first and the last
    // of a longer prompt.
    static constexpr std::size_t max_segments_per_crash = 32;

    explicit crash_attribution(base::clock clock) : clock_(std::move(clock)) {}

    // Returns the segment to quarantine, if the crash completes the evidence
    // against one.
    std::optional<segment_id> on_crash(const engine_crash& crash);

    // Handles a crash under a request with a quarantined segment, which
    // explains it.
    void on_explained_crash(const engine_crash& crash);

    // Clears the segments of a request whose first event arrived.
    void on_first_event(std::span<const segment_id> segments);

    // Starts a trial of the restricted ones of `segments`. Returns false if any
    // of them is in another trial. A repeated call for the same trial extends
    // it.
    bool try_begin_trial(const trial_key& trial,
                         std::span<const segment_id> segments);
    void end_trial(const trial_key& trial) { trials_.erase(trial); }

    bool is_restricted(segment_id segment) const;

    // Segments with at least one crash.
    std::vector<suspect_segment> suspects();
    // Replaces the suspects by those of another host.
    void adopt(std::span<const suspect_segment> suspects);

private:
    using crash_number = std::uint64_t;

    struct suspicion {
        std::vector<crash_number> crashes;
        base::time_point last_crash_at;
        // The segment reached the limit together with one that was quarantined.
        bool was_exonerated = false;
        // Where the counted crashes were seen.
        std::string first_witness_domain;
        bool is_attested = false;
    };

    struct crash_record {
        crash_number number = 0;
        std::string engine;
        // When the first report of it arrived.
        base::time_point recorded_at;
        std::set<segment_id> segments;
        // A quarantined segment explains the crash.
        bool explained = false;
    };

    struct active_trial {
        std::vector<segment_id> segments;
        base::time_point expires_at;
    };

    crash_record& find_or_create_record(const engine_crash& crash);
    void count_crash(segment_id segment, const crash_record& record,
                     const engine_crash& crash);
    // Whether the crashes suffice for a quarantine.
    static bool is_proven(const suspicion& suspected);
    // Returns the segment of a prompt to quarantine, if any.
    std::optional<segment_id> choose_culprit(
        std::span<const segment_id> segments) const;
    void quarantine(segment_id culprit);
    // Removes the crash from those that count against segments.
    void explain(crash_record& record);
    void prune();

    base::clock clock_;
    std::map<segment_id, suspicion> suspicions_;
    std::deque<crash_record> records_;
    std::map<trial_key, active_trial> trials_;
    crash_number next_crash_ = 1;
};

}  // namespace bronzehub::overload

#endif
