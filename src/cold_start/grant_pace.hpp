// Limits how many requests the fleet sends to a cold engine in one second.
//
// Each engine has one host that grants its slots, its owner. Hosts may disagree
// about the owner for a while, so a cold engine has two granters at most: the
// first two hosts of the rendezvous order over all known hosts of its failure
// domain, whether they respond or not. The limit of the fleet is divided
// between the two beforehand; no message is needed to keep to it. All other
// hosts refuse requests for a cold engine.
//
// Load patterns: an engine that restarts under load and would get the requests
// of all hosts for its free slots at once; owners that change, freeze and
// restart meanwhile.
#ifndef BRONZEHUB_COLD_START_GRANT_PACE_HPP
#define BRONZEHUB_COLD_START_GRANT_PACE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/clock.hpp"

namespace bronzehub::cold_start {

// A grant for a cold engine is void if the request is not sent within this time
// after it asked the owner, so that requests that were granted at different
// times are not sent together. As long as a host waits for a response of an
// owner before it asks the next one.
inline constexpr std::chrono::milliseconds grant_lifetime{150};
// The limit holds for each span of this length.
inline constexpr std::chrono::milliseconds limited_span{1000};
// A host grants nothing to cold engines for this time after its start: the
// requests that its previous process granted count for `limited_span` and
// `grant_lifetime`, and other hosts learn of a new host meanwhile.
inline constexpr std::chrono::milliseconds settling_time{2000};
// Requests whose uncached prompt is longer get half of the limit at most. A
// cold engine prefills slowly, so short prompts are more often in time there.
inline constexpr std::uint32_t max_short_prompt_tokens = 1024;

// Requests that each of the two granters may grant in a span.
struct pace_limits {
    std::size_t first = 0;
    std::size_t second = 0;
};

// Divides the requests that a cold engine may get in a second. `tolerated` is
// the number that the engine serves safely, `max_requests` the one that must
// never be exceeded. Twice the limit of the first granter and once that of the
// second are within `max_requests`, so that it holds even if one host is
// unknown to the others.
pace_limits divide_pace(double tolerated, double max_requests);

// The pace of one engine at one granter. Not thread-safe.
class grant_pace {
public:
    // After this time without a first event, while a granted request waits for
    // one, the engine counts as silent. Far above the time to prefill a prompt.
    static constexpr std::chrono::milliseconds silence_timeout{1500};
    // Requests in a row that could not be sent to an engine that has ended.
    static constexpr int unreached_limit = 3;

    // Whether one more request may be granted now. `limit` is the limit of this
    // granter.
    bool allows(base::time_point now, std::size_t limit,
                std::uint32_t prompt_tokens) const;
    // Time until a request with a short prompt may be granted.
    base::duration time_to_next(base::time_point now, std::size_t limit) const;

    void on_granted(base::time_point now);
    void on_first_event(base::time_point now);
    // A granted request could not be sent.
    void on_unreached() { ++unreached_count_; }

    // Whether the engine fell silent and may have restarted: it is silent now,
    // or its first event after the silence is less than `cold_time` ago.
    bool may_have_restarted(base::time_point now,
                            base::duration cold_time) const;

private:
    bool is_silent(base::time_point now) const;
    std::size_t count_recent(base::time_point now) const;

    // Times of the latest grants, at most `max_grants`, oldest first.
    std::deque<base::time_point> grants_;
    // The first grant since the last first event; zero if there is none.
    base::time_point unanswered_since_{};
    // The last first event, and the last one that ended a silence; zero before.
    base::time_point last_event_at_{};
    base::time_point returned_at_{};
    int unreached_count_ = 0;
};

}  // namespace bronzehub::cold_start

#endif
