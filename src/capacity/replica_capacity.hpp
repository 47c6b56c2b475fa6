// The slots of one replica that its dispatcher may grant.
//
// Combines the estimate of slots, the replica's health and whether it is
// leaving with the calls that run on it. Decides only; the dispatcher grants.
//
// Example:
//   if (capacity.free() > 0) {
//       grant.epoch = capacity.on_granted();
//   }
#ifndef BRONZEHUB_CAPACITY_REPLICA_CAPACITY_HPP
#define BRONZEHUB_CAPACITY_REPLICA_CAPACITY_HPP

#include <cstdint>

#include "base/clock.hpp"
#include "capacity/health.hpp"
#include "capacity/slot_estimator.hpp"

namespace bronzehub::capacity {

struct capacity_options {
    slot_options slots;
    health_options health;
};

enum class call_result : std::uint8_t {
    unused,     // The grant started no call.
    completed,  // Also when the caller cancelled a call that was served.
    failed,     // The replica refused, broke off or answered with an error.
};

// How a grant ended. Matches protocol::grant_release.
struct released_call {
    std::uint64_t epoch = 0;  // From `on_granted`.
    call_result result = call_result::unused;
    base::duration first_byte{};
    base::duration total{};
    std::uint32_t output_units = 0;
};

// The time per output unit: without the wait for the first unit, because that
// depends on the length of the prompt. A call with one unit counts in full.
base::duration unit_time(const released_call& call);

// Not thread-safe; belongs to the dispatcher of the replica.
class replica_capacity {
public:
    replica_capacity(capacity_options options, base::clock time);

    // Counts a grant and returns the epoch to pass to `on_released`.
    std::uint64_t on_granted();
    void on_released(const released_call& call);
    void on_report(const load_report& report);

    // A leaving replica has no free slots; its running calls go on.
    void set_leaving(bool leaving) { leaving_ = leaving; }

    // Calls that run on grants of an earlier dispatcher, from inventories.
    // They take up slots until the number is set again.
    void set_inherited(std::uint32_t calls) { inherited_ = calls; }

    // Slots that may be in use now, and those of them that are free.
    std::uint32_t allowed() const;
    std::uint32_t free() const;

    std::uint32_t estimated_slots() const { return estimator_.slots(); }
    std::uint32_t in_use() const;
    bool is_leaving() const { return leaving_; }
    health_state state() const { return health_.state(); }
    // When an ejected replica has a slot for a probe.
    base::time_point next_probe() const { return health_.next_probe(); }

private:
    base::clock time_;
    slot_estimator estimator_;
    health health_;
    bool leaving_ = false;
    std::uint32_t inherited_ = 0;
    std::uint32_t running_ = 0;  // Of the current epoch.
    std::uint32_t earlier_ = 0;  // Granted before the last ejection.
    std::uint64_t counted_epoch_ = 0;
};

}  // namespace bronzehub::capacity

#endif
