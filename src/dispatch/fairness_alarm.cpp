#include "dispatch/fairness_alarm.hpp"

#include <algorithm>
#include <limits>

namespace bronzehub::dispatch {
namespace {

alarm_cause cause_of(const alarm_context& context) {
    if (context.no_capacity) {
        return alarm_cause::no_capacity;
    }
    if (context.partitioned) {
        return alarm_cause::partition;
    }
    return context.stale_exchange ? alarm_cause::stale_exchange
                                  : alarm_cause::over_admission;
}

}  // namespace

std::string_view to_string(alarm_cause cause) {
    switch (cause) {
        case alarm_cause::no_capacity:
            return "no_capacity";
        case alarm_cause::partition:
            return "partition";
        case alarm_cause::stale_exchange:
            return "stale_exchange";
        case alarm_cause::over_admission:
            return "over_admission";
    }
    return "unknown";
}

std::vector<fairness_event> fairness_alarm::reset() {
    std::vector<fairness_event> ends;
    for (const auto& [organisation, known] : states_) {
        if (known.alarmed) {
            fairness_event end;
            end.organisation = organisation;
            ends.push_back(end);
        }
    }
    states_.clear();
    return ends;
}

// Adds the service of the last interval to the lags of the organisations that
// waited at both of its ends.
void fairness_alarm::advance(std::span<const organisation_usage> usage,
                             double capacity) {
    double served = 0;
    double weights = 0;
    const auto counts = [&](const organisation_usage& entry) {
        return entry.waiting && states_[entry.organisation].waiting;
    };
    for (const auto& entry : usage) {
        if (counts(entry)) {
            served += entry.received - states_[entry.organisation].received;
            weights += entry.weight;
        }
    }
    for (const auto& entry : usage) {
        state& known = states_[entry.organisation];
        if (counts(entry)) {
            const double own = entry.received - known.received;
            known.lag += (served / weights - own / entry.weight) / capacity;
        }
        known.received = entry.received;
    }
}

fairness_alarm::extremes fairness_alarm::lags(
    std::span<const organisation_usage> usage) const {
    extremes result{.lowest = std::numeric_limits<double>::infinity(),
                    .highest = -std::numeric_limits<double>::infinity(),
                    .ahead = {}};
    for (const auto& entry : usage) {
        const state& known = states_.at(entry.organisation);
        if (!known.waiting) {
            continue;
        }
        if (known.lag < result.lowest) {
            result.lowest = known.lag;
            result.ahead = entry.organisation;
            result.ahead_weight = entry.weight;
        }
        result.highest = std::max(result.highest, known.lag);
    }
    return result;
}

void fairness_alarm::begin_waiting(std::span<const organisation_usage> usage,
                                   double capacity) {
    double remainder = 0;
    double weights = 0;
    for (const auto& entry : usage) {
        if (states_[entry.organisation].waiting) {
            remainder += entry.remainder;
            weights += entry.weight;
        }
    }
    const extremes present = lags(usage);
    for (const auto& entry : usage) {
        state& known = states_[entry.organisation];
        if (!entry.waiting || known.waiting) {
            known.waiting = entry.waiting;
            continue;
        }
        known.waiting = true;
        known.exceeded = 0;
        known.lag = weights > 0 ? present.highest : 0;
        known.allowance = weights > 0 ? remainder / weights / capacity +
                                            (present.highest - present.lowest)
                                      : 0;
    }
}

std::vector<fairness_event> fairness_alarm::observe(
    std::span<const organisation_usage> usage, const alarm_context& context) {
    std::vector<fairness_event> events;
    if (context.capacity <= 0) {
        return events;
    }
    advance(usage, context.capacity);
    begin_waiting(usage, context.capacity);
    const extremes present = lags(usage);
    // A request counts more at an organisation of less than mean weight.
    const double weight = std::min(1.0, present.ahead_weight);
    const double allowed =
        bound + context.largest_request / weight / context.capacity;
    for (const auto& entry : usage) {
        state& known = states_[entry.organisation];
        const double behind =
            known.waiting ? known.lag - known.allowance - present.lowest : 0;
        known.exceeded = behind > allowed ? known.exceeded + 1 : 0;
        const bool begins = !known.alarmed && known.exceeded > observations;
        const bool ends = known.alarmed && behind < allowed / 2;
        if (begins || ends) {
            known.alarmed = begins;
            events.push_back({.organisation = entry.organisation,
                              .begins = begins,
                              .cause = cause_of(context),
                              .behind = behind,
                              .ahead = present.ahead});
        }
    }
    return events;
}

}  // namespace bronzehub::dispatch
