// State that a dispatcher keeps per service and per grant.
#ifndef BRONZEHUB_DISPATCH_DISPATCHER_STATE_HPP
#define BRONZEHUB_DISPATCH_DISPATCHER_STATE_HPP

#include <algorithm>
#include <cstdint>

#include "accounting/work_key.hpp"
#include "base/clock.hpp"
#include "dispatch/fair_order.hpp"
#include "dispatch/fairness_alarm.hpp"
#include "dispatch/slot_table.hpp"

namespace bronzehub::dispatch {

// A mean over about the last hundred calls.
class decaying_mean {
public:
    void add(double value) {
        weight_ = std::min(weight_ + 1, window);
        value_ += (value - value_) / weight_;
    }
    bool empty() const { return weight_ == 0; }
    double value() const { return value_; }

private:
    static constexpr double window = 100;
    double weight_ = 0;
    double value_ = 0;
};

// A grant whose cost no usage report shows yet.
struct unreported_charge {
    grant_key key;
    accounting::work_key work;
    double units = 0;
    base::time_point issued;
    bool ended = false;
};

struct service_state {
    fair_order order;
    std::uint32_t fleet_slots = 0;
    decaying_mean call_seconds;
    decaying_mean units_per_slot_second;
    double largest_request = 0;
    fairness_alarm alarm;
};

struct dispatch_counters {
    std::uint64_t granted = 0;
    std::uint64_t unused = 0;
    std::uint64_t reclaimed = 0;
    std::uint64_t unknown_releases = 0;
};

}  // namespace bronzehub::dispatch

#endif
