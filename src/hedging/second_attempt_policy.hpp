// Decides whether and when a request that waits for its response is sent to a
// second backend server.
//
// Load pattern: a few responses take many times as long as others of their
// kind, because their server is disturbed, although other servers have room.
// A second attempt when the first is later than nearly all of its like cuts
// these times for little extra work. When a service is loaded beyond what
// leaves room, slow responses are the rule, and second attempts would make all
// of them slower: none is sent then.
#ifndef BRONZEHUB_HEDGING_SECOND_ATTEMPT_POLICY_HPP
#define BRONZEHUB_HEDGING_SECOND_ATTEMPT_POLICY_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "hedging/extra_work_limit.hpp"
#include "hedging/latency_profile.hpp"

namespace bronzehub::hedging {

// What the decision depends on when an attempt was sent.
struct attempt_description {
    // Requests of the same kind take about the same time.
    std::string_view kind;
    std::string_view service;
    // The request may run twice.
    bool repeatable = false;
    // Attempts sent so far, and the most that the route allows.
    std::uint32_t attempts_sent = 0;
    std::uint32_t max_attempts = 1;
    base::duration time_left{};
};

// Not thread-safe.
class second_attempt_policy {
public:
    // Largest part of the slots of a plain server that may be in use when it
    // gets a second attempt. The rest is left to first attempts.
    static constexpr double max_slots_in_use = 0.5;

    // `extra_work` is the share of all work that second attempts may add; zero
    // turns them off.
    second_attempt_policy(double extra_work, base::clock clock)
        : limit_(extra_work), latencies_(std::move(clock)) {}

    bool is_enabled() const { return limit_.share() > 0; }
    void set_extra_work(double share) { limit_.set_share(share); }

    // Records a request of a caller and its work.
    void on_request(std::string_view service, double work) {
        limit_.on_request(service, work);
    }
    // Records the time from sending a first attempt to its response.
    void on_response(std::string_view kind, base::duration elapsed);

    // Returns the time after which a second attempt may be sent; empty if none
    // may. It is the time within which all but the share of the extra work of
    // the kind's requests are answered, so that a request that is as slow as
    // usual gets no second attempt.
    std::optional<base::duration> delay(
        const attempt_description& attempt) const;

    // Takes the work of a second attempt that is about to be sent from the
    // limit. Returns false if the limit does not allow it.
    bool try_spend(std::string_view service, double work) {
        return limit_.try_spend(service, work);
    }

    // Whether a plain server with this load may get a second attempt.
    static bool has_room(std::uint32_t requests, std::uint32_t slots);

private:
    extra_work_limit limit_;
    latency_profile latencies_;
};

// Groups requests by the route and by the size of what has to be read before
// the first event, as that determines when it can be expected. Sizes within a
// factor of two are of one kind.
std::string make_kind(std::string_view route, std::uint64_t prompt_tokens);

}  // namespace bronzehub::hedging

#endif
