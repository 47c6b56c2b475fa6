// Decides on requests for slots on engines that may be cold, in front of their
// schedulers.
//
// The owner of an engine's schedule passes each request, first event and
// release through its gate. While the engine is cold, the gate grants at the
// pace of `grant_pace` and lets no request wait: a request that gets no slot is
// refused at once, so that it finds another engine. Requests for warm engines
// and for engines of services without a limit go to the scheduler unchanged.
#ifndef BRONZEHUB_COLD_START_SCHEDULE_GATE_HPP
#define BRONZEHUB_COLD_START_SCHEDULE_GATE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "cold_start/grant_pace.hpp"
#include "cold_start/warmth.hpp"
#include "fleet_state/configuration.hpp"
#include "overload/engine_scheduler.hpp"

namespace bronzehub::cold_start {

// What the owner knows about an engine of a service whose servers start cold.
struct engine_terms {
    pace_limits limits;
    // Time for which the engine is cold after its start.
    base::duration cold_time{};
    bool is_cold = true;
    // Failure domain of the engine.
    std::string failure_domain;
};

// Requests that a cold server may get in one second at most: the ratio of the
// requests that it tolerates, plus the allowance.
struct request_bound {
    double overrun = 1;
    double allowance = 0;
};

// Returns the terms of an instance of a server, or nullopt if its service has
// no limit. `configuration` is null before the host has one. Nothing may be
// granted on an instance that is not in the listing of this host.
std::optional<engine_terms> find_terms(
    const fleet_state::configuration* configuration, const warmth& instances,
    request_bound bound, std::string_view id, std::uint64_t started_at_ms);

// The decision of an owner on a request for a slot.
struct slot_decision {
    overload::engine_decision decision{};
    base::duration retry_after{};
    // Time after it asked the owner within which the request must be sent to
    // the engine; zero for no limit.
    std::chrono::milliseconds send_within{0};
};

// Not thread-safe.
class schedule_gate {
public:
    // `retry_after` of a host that may not grant slots on a cold engine.
    static constexpr std::chrono::milliseconds not_granter_retry_after{500};
    // Shortest `retry_after` of an engine over its pace. Without it, all hosts
    // would ask again at the same moment.
    static constexpr std::chrono::milliseconds min_retry_after{50};

    struct hooks {
        std::function<std::optional<engine_terms>(std::string_view engine)>
            find_terms;
        // Number of known hosts before this one in the rendezvous order.
        std::function<std::size_t(std::string_view engine,
                                  std::string_view failure_domain)>
            rank;
    };

    // Without hooks, all engines are warm.
    explicit schedule_gate(base::clock clock)
        : clock_(std::move(clock)), created_at_(clock_.now()) {}
    void set_hooks(hooks value) { hooks_ = std::move(value); }

    slot_decision decide(const std::string& engine,
                         overload::engine_scheduler& scheduler,
                         overload::scheduled_request request);

    // To be called when the scheduler grants a request that waited.
    void on_waiting_granted(const std::string& engine);
    // These two precede the call of the scheduler's function.
    void before_first_event(const std::string& engine,
                            overload::engine_scheduler& scheduler);
    void before_release(const std::string& engine,
                        overload::engine_scheduler& scheduler, bool reached);

    // Tells the scheduler when the engine becomes cold or warm. To be called
    // before the scheduler may grant waiting requests. Returns the terms of the
    // engine while it is cold.
    std::optional<engine_terms> update(const std::string& engine,
                                       overload::engine_scheduler& scheduler);

    // Forgets the engines for which `is_known` returns false.
    void remove_unknown(
        const std::function<bool(const std::string&)>& is_known);

    // Requests that were refused because their engine was cold.
    std::uint64_t paced_count() const { return paced_count_; }

private:
    struct engine_state {
        grant_pace pace;
        bool was_cold = false;
    };

    // Requests that this host may grant on the cold engine in a second.
    std::size_t limit(const std::string& engine,
                      const engine_terms& terms) const;
    slot_decision decide_cold(const std::string& engine,
                              overload::engine_scheduler& scheduler,
                              overload::scheduled_request request,
                              const engine_terms& terms);

    base::clock clock_;
    hooks hooks_;
    base::time_point created_at_;
    // Engines of services with a limit.
    std::map<std::string, engine_state, std::less<>> engines_;
    std::uint64_t paced_count_ = 0;
};

}  // namespace bronzehub::cold_start

#endif
