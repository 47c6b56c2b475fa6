// Decides which requests run on one model engine, and when.
//
// Engines know no priorities and admit requests in order of arrival, so a
// request that is sent too early delays everyone behind it. The scheduler of
// an engine keeps its batch, its memory and its unread prompts within bounds,
// lets the rest wait in fair order for as long as they can still start in
// time, and refuses what can't.
//
// Load patterns that it answers: demand of one to two times what the engine
// can do; one organisation at many times its usual rate; long prompts that
// arrive together. No I/O; the clock and the hooks come from the owner.
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

// A request for a place on an engine: the host that holds the caller, and that
// host's number for it.
struct scheduled_request_id {
    std::string host;
    std::uint64_t number = 0;
    auto operator<=>(const scheduled_request_id&) const = default;
};

struct scheduled_request {
    scheduled_request_id id;
    std::string organisation;
    // Tokens read once and tokens generated twice: the unit of shares.
    double cost = 0;
    // Read by this request alone.
    std::uint32_t own_tokens = 0;
    std::uint32_t output_tokens = 0;
    // Parts of the prompt that other requests share, in order.
    std::vector<fleet_state::prompt_segment> shared_segments;
    // Latest start at which the first event is still in time.
    base::time_point start_deadline;
    // Latest start for work of an organisation that is short of its share: it
    // is rather served late than turned away again. Not before
    // `start_deadline`.
    base::time_point extended_start_deadline;
    // False: refuse at once instead of letting it wait.
    bool may_wait = true;
};

struct engine_capacity {
    std::uint32_t slots = 1;
    // Zero: unknown, not limited.
    std::uint64_t memory_tokens = 0;
};

enum class engine_decision : std::uint8_t { granted, waiting, refused };

struct scheduler_callbacks {
    // For work that waited; `submit` returns the decision on new work.
    std::function<void(const scheduled_request_id&)> granted;
    std::function<void(const scheduled_request_id&, base::duration retry_after)>
        refused;
};

// Not thread-safe.
class engine_scheduler {
public:
    // Prompt tokens that may be granted and not yet read, at the start. Adapts
    // to the time that first events take.
    static constexpr double initial_prompt_window = 16384;
    static constexpr double smallest_prompt_window = 4096;
    static constexpr double largest_prompt_window = 262144;
    // Share of the engine's memory that granted work may fill. The rest holds
    // answers that grow longer than expected.
    static constexpr double memory_share = 0.9;

    // `fleet` outlives the schedule. While it contains nothing, what this
    // engine granted decides alone.
    engine_scheduler(engine_capacity options, const fleet_shares& fleet,
                     base::clock clock, scheduler_callbacks hooks);

    // Submitting known work again returns its present state.
    engine_decision submit(scheduled_request work);

    // The first event arrived this long after the grant; `in_time` tells
    // whether that met the target.
    void on_first_event(const scheduled_request_id& id,
                        base::duration since_grant, bool in_time);

    // The work ended, or its caller left while it waited.
    void release(const scheduled_request_id& id);

    // Work that runs although this scheduler did not grant it: it took the
    // engine over from another owner.
    void adopt(scheduled_request work);

    // Releases granted work of `host` that is not in `running` and was granted
    // before `granted_before`.
    void reconcile(const std::string& host,
                   const std::vector<std::uint64_t>& running,
                   base::time_point granted_before);

    // Releases everything of a host that was lost.
    void release_host(const std::string& host);

    // Part of what the most served organisation was granted on this engine,
    // below which an organisation is short of its share while the fleet's sums
    // are not known.
    static constexpr double short_share = 0.5;

    // Part of the slots and of the prompt window that an organisation above the
    // level of the fleet leaves free, so that work of the others starts when it
    // comes: an engine is otherwise always full of the work of the organisation
    // that asks most. Trunk reservation, as in telephony.
    static constexpr double reserved_part = 0.2;

    // Refuses work whose start is no longer in time. Call every few ms while
    // work waits.
    void tick();

    void set_capacity(engine_capacity options) { options_ = options; }

    bool contains(const scheduled_request_id& id) const;
    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }
    double prompt_window() const { return prompt_window_; }
    std::uint64_t memory_in_use() const { return memory_in_use_; }

    // When work of the organisation that is refused now would be served, if
    // what was refused of late queued for the rate at which it is served.
    base::duration retry_after(const std::string& organisation);

private:
    struct granted_work {
        scheduled_request work;
        base::time_point granted_at;
        std::uint32_t unread_tokens = 0;
        bool first_event_seen = false;
    };

    struct cached_part {
        std::uint32_t tokens = 0;
        std::uint32_t users = 0;
        base::time_point last_use;
    };

    std::uint32_t unread_tokens(const scheduled_request& work) const;
    std::uint64_t memory_of(const scheduled_request& work) const;
    bool has_room(const scheduled_request& work) const;
    bool goes_first(const scheduled_request& work);
    base::duration expected_start(const scheduled_request& work) const;
    void grant(scheduled_request work);
    void finish(std::map<scheduled_request_id, granted_work>::iterator entry);
    void use_parts(const scheduled_request& work);
    void evict_parts();
    // What the organisation got: the lowest is next, the highest gives way.
    double served(const std::string& organisation) const;
    std::list<scheduled_request>::iterator next_in_order();
    std::list<scheduled_request>::iterator last_in_order();
    void grant_waiting();
    bool is_short_of_share(const std::string& organisation) const;
    bool is_hopeless(const scheduled_request& work, std::size_t ahead) const;
    void refuse(std::list<scheduled_request>::iterator entry);

    base::time_point latest_start(const scheduled_request& work) const;

    engine_capacity options_;
    const fleet_shares& fleet_;
    base::clock clock_;
    scheduler_callbacks hooks_;
    std::map<scheduled_request_id, granted_work> running_;
    std::list<scheduled_request> waiting_;
    std::unordered_map<std::uint64_t, cached_part> parts_;
    std::uint64_t cached_tokens_ = 0;
    std::uint64_t memory_in_use_ = 0;
    double unread_in_flight_ = 0;
    double prompt_window_ = initial_prompt_window;
    // Smoothed time between two releases, in seconds; zero until known.
    double release_interval_s_ = 0;
    base::time_point last_release_{};
    organisation_rates rates_;
};

}  // namespace bronzehub::overload

#endif
