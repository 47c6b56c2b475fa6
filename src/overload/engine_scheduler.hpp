// Decides which requests run on one model engine, and when.
//
// Engines have no priorities and admit requests in order of arrival, so a
// request that is sent too early delays all later ones. The scheduler limits
// the batch of an engine, the use of its KV cache and the prompt tokens that it
// has yet to prefill. Other requests wait in fair order while they can still
// start in time, and are refused when they can't.
//
// Load patterns: demand of one to two times the capacity of the engine; one
// organisation at many times its usual rate; long prompts that arrive together;
// an engine that is down but still listed, whose slots are free at once again
// and would attract the requests of all hosts.
// The class performs no I/O; its owner provides the clock and the callbacks.
#ifndef BRONZEHUB_OVERLOAD_ENGINE_SCHEDULER_HPP
#define BRONZEHUB_OVERLOAD_ENGINE_SCHEDULER_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "fleet_state/request_description.hpp"
#include "overload/fleet_shares.hpp"
#include "overload/organisation_rates.hpp"

namespace bronzehub::overload {

// Identifies a request for a slot on an engine: the entry host that the caller
// is connected to, and the number that this host gave the request.
struct scheduled_request_id {
    std::string host;
    std::uint64_t number = 0;
    auto operator<=>(const scheduled_request_id&) const = default;
};

// A request for a slot, with what the scheduling decision depends on.
struct scheduled_request {
    scheduled_request_id id;
    std::string organisation;
    // Cost in weighted tokens, the unit of fair shares: a prompt token counts
    // once, a generated token twice.
    double cost = 0;
    // Prompt tokens that no other request shares.
    std::uint32_t own_tokens = 0;
    // Expected number of generated tokens.
    std::uint32_t output_tokens = 0;
    // Prompt segments that other requests share, in order.
    std::vector<fleet_state::prompt_segment> shared_segments;
    // Latest start at which the first event still meets its latency target.
    base::time_point start_deadline;
    // Latest start while the organisation is underserved: its requests are
    // served late rather than refused again. Not before `start_deadline`.
    base::time_point extended_start_deadline;
    // Whether the request may wait for a slot; if not, it is granted or refused
    // at once.
    bool may_wait = true;
};

struct engine_capacity {
    // Requests that the engine can execute at the same time.
    std::uint32_t slots = 1;
    // Tokens that fit in the KV cache. Zero if unknown, which means no limit.
    std::uint64_t memory_tokens = 0;
};

enum class engine_decision : std::uint8_t {
    // The request holds a slot and may be sent to the engine.
    granted,
    // The request waits for a slot; a callback reports the final decision.
    waiting,
    // The request got no slot and is no longer scheduled.
    refused,
    // As `refused`, because recent requests could not reach the engine.
    unreachable,
    // As `refused`, because the engine has just started and got as many
    // requests as it tolerates; another engine may have a free slot.
    paced
};

struct scheduler_callbacks {
    // Both report decisions on requests that waited; `submit` returns the
    // decision on a new request.
    std::function<void(const scheduled_request_id&)> granted;
    std::function<void(const scheduled_request_id&, base::duration retry_after)>
        refused;
    // Called for each waiting request when the engine can't be reached.
    std::function<void(const scheduled_request_id&)> unreachable;
    // Called for each waiting request when `begin_cold` gives it up.
    std::function<void(const scheduled_request_id&)> paced{};
};

// Not thread-safe.
class engine_scheduler {
public:
    // The prefill window is the number of prompt tokens that granted requests
    // may have left to prefill. It adapts to whether first events are in time,
    // from the initial value within these limits.
    static constexpr double initial_prefill_window = 16384;
    static constexpr double min_prefill_window = 4096;
    static constexpr double max_prefill_window = 262144;
    // Fraction of the KV cache that granted requests may fill. The rest is for
    // responses that get longer than expected.
    static constexpr double usable_memory_fraction = 0.9;

    // Segments that are remembered as cached. Callers choose their ids and
    // sizes, and each eviction looks at all of them; the KV cache of an engine
    // holds fewer segments of usual size.
    static constexpr std::size_t max_cached_segments = 4096;

    // `fleet` must outlive the scheduler. While its usage is not current, only
    // the grants of this engine determine the fair order.
    engine_scheduler(engine_capacity capacity, const fleet_shares& fleet,
                     base::clock clock, scheduler_callbacks callbacks);

    // Schedules a request. Submitting it again returns its current state.
    engine_decision submit(scheduled_request request);

    // Records that the first event of the response arrived; `in_time` tells
    // whether it met the latency target.
    void on_first_event(const scheduled_request_id& id,
                        base::duration since_grant, bool in_time);

    // Releases the slot of a request that ended, or removes a request whose
    // caller disconnected while it waited.
    void release(const scheduled_request_id& id);

    // Releases the slot of a request that could not be sent because no server
    // accepts connections at the address of the engine.
    void release_unreached(const scheduled_request_id& id);

    // After this many requests in a row that could not be sent, the engine
    // counts as unreachable, and its waiting requests are given up.
    static constexpr int unreached_limit = 3;
    // An unreachable engine gets one request after this time, which doubles
    // with each failure up to the maximum, until a first event arrives.
    static constexpr std::chrono::milliseconds first_probe_delay{100};
    static constexpr std::chrono::milliseconds max_probe_delay{800};

    // Adds a running request that another host granted, which owned the
    // schedule of the engine before.
    void adopt(scheduled_request request);

    // Releases the slots of requests of `host` that are not in `running` and
    // were granted before `granted_before`.
    void reconcile(const std::string& host,
                   const std::vector<std::uint64_t>& running,
                   base::time_point granted_before);

    // Releases the slots and removes the waiting requests of a failed host.
    void release_host(const std::string& host);

    // While the usage of the fleet is not current, an organisation is
    // underserved if this engine granted it less than this fraction of what it
    // granted the organisation with the most grants.
    static constexpr double underserved_fraction = 0.5;

    // Fraction of the slots and of the prefill window that an organisation
    // above its fair share must leave free, so that requests of others can
    // start at once. Otherwise the requests of the organisation with the
    // highest demand would always fill the engine. Trunk reservation, as in
    // telephony.
    static constexpr double reserved_fraction = 0.2;

    // Refuses waiting requests that can no longer start in time. To be called
    // every few milliseconds while requests wait.
    void tick();

    void set_capacity(engine_capacity capacity) { capacity_ = capacity; }

    // Called when the engine may have just started. Gives up the waiting
    // requests, because the next ones may start late, and reduces the prefill
    // window, because the engine is slow.
    void begin_cold();
    // Called when the engine is warm; ends the effect of `begin_cold`.
    void end_cold();

    // Prompt tokens of the request that the engine has not cached.
    std::uint32_t prefill_tokens(const scheduled_request& request) const;

    // Whether the request is running or waiting.
    bool contains(const scheduled_request_id& id) const;
    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }
    double prefill_window() const { return prefill_window_; }
    // KV cache tokens of the running requests.
    std::uint64_t memory_in_use() const { return memory_in_use_; }
    // Segments that the engine is expected to have in its KV cache.
    std::size_t cached_segments() const { return cached_segments_.size(); }

    // Retry-After for a request of the organisation that is refused now: the
    // time in which the recently refused requests of the organisation could be
    // served at its current rate.
    base::duration retry_after(const std::string& organisation);

private:
    struct running_request {
        scheduled_request request;
        base::time_point granted_at;
        // Prompt tokens that were not cached when the request was granted.
        std::uint32_t prefill_tokens = 0;
        bool first_event_seen = false;
    };

    // A prompt segment that the engine is expected to have in its KV cache.
    struct cached_segment {
        std::uint32_t tokens = 0;
        // Running requests that use the segment.
        std::uint32_t reference_count = 0;
        base::time_point last_use;
    };

    // KV cache tokens that the request adds to those in use.
    std::uint64_t required_memory(const scheduled_request& request) const;
    // Whether the slots, the KV cache and the prefill window have room for the
    // request. An idle engine has room for any request.
    bool fits(const scheduled_request& request) const;
    // Whether a new request comes before all waiting requests.
    bool precedes_all_waiting(const scheduled_request& request);
    base::duration expected_start(const scheduled_request& request) const;
    void grant(scheduled_request request);
    // Ends a running request and frees what it used.
    void finish(
        std::map<scheduled_request_id, running_request>::iterator entry);
    // Updates the smoothed time between grants of waiting requests.
    void record_queue_grant();
    // Whether recent requests could not reach the engine. It then has room for
    // a probe at most.
    bool is_unreachable() const { return unreached_count_ >= unreached_limit; }
    bool is_probe_due() const;
    // Adds the shared segments of a granted request to the cache.
    void reference_segments(const scheduled_request& request);
    // Drops the least recently used segments without running requests until the
    // cache fits in the memory of the engine and the number is in its limit.
    void evict_segments();
    // Recent cost that the organisation was granted. The organisation with the
    // lowest cost is granted next, the one with the highest is refused first.
    double granted_cost(const std::string& organisation) const;
    // The waiting request to grant next.
    std::list<scheduled_request>::iterator next_request();
    // The waiting request to refuse first.
    std::list<scheduled_request>::iterator last_request();
    void grant_waiting();
    // Ends the wait of all requests, each with a call of `callback`.
    void give_up_waiting(
        const std::function<void(const scheduled_request_id&)>& callback);
    bool is_underserved(const std::string& organisation) const;
    // Whether the request would miss its latest start if `ahead` others were
    // granted before it.
    bool would_start_too_late(const scheduled_request& request,
                              std::size_t ahead) const;
    void refuse(std::list<scheduled_request>::iterator entry);

    base::time_point latest_start(const scheduled_request& request) const;

    engine_capacity capacity_;
    const fleet_shares& fleet_;
    base::clock clock_;
    scheduler_callbacks callbacks_;
    std::map<scheduled_request_id, running_request> running_;
    std::list<scheduled_request> waiting_;
    std::unordered_map<std::uint64_t, cached_segment> cached_segments_;
    // Tokens of all cached segments, used by running requests or not.
    std::uint64_t cached_tokens_ = 0;
    std::uint64_t memory_in_use_ = 0;
    // Prompt tokens of running requests without a first event.
    double prefill_tokens_in_flight_ = 0;
    double prefill_window_ = initial_prefill_window;
    // Smoothed time between two grants while requests wait, in seconds. Zero
    // before the first one.
    double mean_grant_interval_s_ = 0;
    base::time_point last_grant_at_{};
    // When the first of the waiting requests began to wait.
    base::time_point queue_began_at_{};
    // Requests in a row that could not be sent.
    int unreached_count_ = 0;
    base::duration probe_delay_{};
    base::time_point next_probe_at_{};
    // Grants and refusals of this engine.
    organisation_rates rates_;
};

}  // namespace bronzehub::overload

#endif
