#include "capacity/health.hpp"

#include <algorithm>

namespace bronzehub::capacity {

std::string_view to_string(health_state state) {
    switch (state) {
        case health_state::healthy:
            return "healthy";
        case health_state::ejected:
            return "ejected";
        case health_state::recovering:
            return "recovering";
    }
    return "unknown";
}

std::uint32_t health::allowed(std::uint32_t slots, base::time_point now) const {
    switch (state_) {
        case health_state::healthy:
            return slots;
        case health_state::ejected:
            return now >= next_probe_ ? std::min(slots, 1U) : 0;
        case health_state::recovering:
            return std::min(slots, recovering_slots_);
    }
    return 0;
}

void health::on_success(std::uint64_t call_epoch, std::uint32_t slots) {
    if (call_epoch != epoch_) {
        return;
    }
    failures_ = 0;
    if (state_ == health_state::healthy) {
        return;
    }
    recovering_slots_ =
        state_ == health_state::ejected ? 2 : recovering_slots_ * 2;
    state_ = recovering_slots_ >= slots ? health_state::healthy
                                        : health_state::recovering;
    if (state_ == health_state::healthy) {
        interval_ = {};
    }
}

void health::on_failure(std::uint64_t call_epoch, base::time_point now) {
    if (call_epoch != epoch_) {
        return;
    }
    ++failures_;
    // While it is probed or recovers, one failure is enough.
    if (state_ != health_state::healthy ||
        failures_ >= options_.failures_to_eject) {
        eject(now);
    }
}

void health::eject(base::time_point now) {
    state_ = health_state::ejected;
    ++epoch_;
    failures_ = 0;
    recovering_slots_ = 0;
    interval_ = std::clamp(2 * interval_, options_.first_probe_interval,
                           options_.longest_probe_interval);
    next_probe_ = now + interval_;
}

}  // namespace bronzehub::capacity
