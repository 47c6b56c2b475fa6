// Whether a replica gets work, judged by the results of its calls.
//
// A replica that fails several times in a row is ejected. It is readmitted by
// calls of one slot at growing intervals; each success doubles its slots.
#ifndef BRONZEHUB_CAPACITY_HEALTH_HPP
#define BRONZEHUB_CAPACITY_HEALTH_HPP

#include <cstdint>
#include <string_view>

#include "base/clock.hpp"

namespace bronzehub::capacity {

struct health_options {
    std::uint32_t failures_to_eject = 3;  // Consecutive.
    base::duration first_probe_interval = std::chrono::seconds(1);
    base::duration longest_probe_interval = std::chrono::seconds(30);
};

enum class health_state : std::uint8_t {
    healthy,
    ejected,     // One call at a time, when a probe is due.
    recovering,  // Slots double with each success.
};

std::string_view to_string(health_state state);

// Calls belong to the epoch in which they started; an ejection begins a new
// one. Results of calls of an earlier epoch do not count: they say nothing of
// the replica as it is now. Not thread-safe.
class health {
public:
    explicit health(health_options options) : options_(options) {}

    health_state state() const { return state_; }
    std::uint64_t epoch() const { return epoch_; }

    // Slots that may be in use by calls of this epoch, at most `slots`.
    std::uint32_t allowed(std::uint32_t slots, base::time_point now) const;

    // When a probe of an ejected replica is due.
    base::time_point next_probe() const { return next_probe_; }

    // `slots` is the estimate at which the replica is healthy again.
    void on_success(std::uint64_t call_epoch, std::uint32_t slots);
    void on_failure(std::uint64_t call_epoch, base::time_point now);

private:
    void eject(base::time_point now);

    health_options options_;
    health_state state_ = health_state::healthy;
    std::uint64_t epoch_ = 0;
    std::uint32_t failures_ = 0;
    std::uint32_t recovering_slots_ = 0;
    base::duration interval_{};
    base::time_point next_probe_;
};

}  // namespace bronzehub::capacity

#endif
