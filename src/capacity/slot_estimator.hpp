// How many calls a replica can run at once, learnt from what is observed.
//
// An engine has no fixed number of slots: its time between tokens rises with
// the batch. The estimate rises while calls meet the target with all slots in
// use, and falls when they miss it or the engine reports a queue. Not for
// health: a replica that fails keeps its estimate (see health.hpp).
#ifndef BRONZEHUB_CAPACITY_SLOT_ESTIMATOR_HPP
#define BRONZEHUB_CAPACITY_SLOT_ESTIMATOR_HPP

#include <cstdint>
#include <optional>

#include "base/clock.hpp"

namespace bronzehub::capacity {

struct slot_options {
    std::uint32_t initial_slots = 8;
    std::uint32_t least_slots = 1;
    std::uint32_t most_slots = 1024;
    // Time per output unit that calls should meet: the time between tokens of
    // an engine, the duration of a plain call.
    base::duration target_unit_time = std::chrono::milliseconds(80);
    // The lowest factor of one decrease. A small excess lowers the estimate
    // only by the excess, because a full step leaves slots idle.
    double decrease = 0.9;
};

// A load report of the replica. `taken_at` is a time on this host's clock at
// which the report cannot have been older, such as when it was requested.
struct load_report {
    base::time_point taken_at;
    std::uint32_t queued = 0;
};

// One call that ended well.
struct call_sample {
    base::time_point started_at;
    base::time_point ended_at;
    base::duration unit_time{};
    bool all_slots_in_use = false;  // When it ended.
};

// Not thread-safe.
class slot_estimator {
public:
    explicit slot_estimator(slot_options options);

    std::uint32_t slots() const;

    // Keeps the report until enough calls that ended after it was taken have
    // been observed. Reports lag: used with earlier calls, one burst would be
    // counted twice. Reports that arrive meanwhile are dropped, unless they
    // are the first to show a queue.
    void on_report(const load_report& report);

    // Judges the latest calls. Calls that started before the last decrease are
    // ignored: they ran in the larger batch.
    void on_call_ended(const call_sample& sample);

private:
    struct window {
        std::uint32_t calls = 0;
        std::uint32_t after_report = 0;
        base::duration unit_time{};  // Sum over calls.
        bool all_slots_in_use = false;
    };

    std::uint32_t calls_needed() const;
    void judge(base::time_point now);
    void lower(double factor, base::time_point now);
    void raise();

    slot_options options_;
    double slots_;
    bool lowered_once_ = false;
    base::time_point last_lowered_ = base::time_point::min();
    std::optional<load_report> report_;
    window window_;
};

}  // namespace bronzehub::capacity

#endif
