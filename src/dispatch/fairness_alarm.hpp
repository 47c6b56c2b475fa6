// Tells operators that an organisation is not getting its share.
//
// An alarm that fires without need is switched off by its users, so this one
// prefers silence: it compares only service that was received while both
// organisations waited, grants an organisation that begins to wait the work
// that was already running, and fires only when the lag outlasts what the
// exchange of counters explains. It then fires once per episode.
#ifndef BRONZEHUB_DISPATCH_FAIRNESS_ALARM_HPP
#define BRONZEHUB_DISPATCH_FAIRNESS_ALARM_HPP

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "base/strong_id.hpp"

namespace bronzehub::dispatch {

enum class alarm_cause {
    no_capacity,     // No backend server could run the work.
    partition,       // Hosts that were alive are out of reach.
    stale_exchange,  // A live host's counters have not arrived.
    over_admission,  // Another organisation was served beyond its share.
};

// The stable name for logs and metrics.
std::string_view to_string(alarm_cause cause);

// What one organisation received of one service, as the merged counters show.
struct organisation_usage {
    base::organisation_id organisation;
    double weight = 1;     // Scaled to a mean of 1.
    double received = 0;   // Cost units, never decreasing.
    double remainder = 0;  // Expected cost units of running calls.
    bool waiting = false;
};

struct alarm_context {
    double capacity = 0;  // Cost units per second of the whole fleet.
    // Cost units; the largest that has ended or still runs.
    double largest_request = 0;
    bool no_capacity = false;
    bool partitioned = false;
    bool stale_exchange = false;
};

// The beginning or the end of an episode.
struct fairness_event {
    base::organisation_id organisation;
    bool begins = false;
    alarm_cause cause = alarm_cause::over_admission;
    double behind = 0;            // Seconds of fleet capacity.
    base::organisation_id ahead;  // The organisation that is furthest ahead.
};

// Watches one service. Not thread-safe.
class fairness_alarm {
public:
    // Seconds of fleet capacity that a gap may reach besides one largest
    // request.
    static constexpr double bound = 1;

    // Observations that a lag must outlast.
    static constexpr std::uint32_t observations = 3;

    // Call it once per exchange. O(organisations).
    std::vector<fairness_event> observe(
        std::span<const organisation_usage> usage,
        const alarm_context& context);

    // Forgets everything. Returns the ends of the episodes that last.
    std::vector<fairness_event> reset();

private:
    struct state {
        double received = 0;
        // How far service received while waiting is behind the mean of those
        // that waited too, in seconds of fleet capacity.
        double lag = 0;
        // Work that was running when it began to wait, and the spread of lags
        // at that moment, which is no breach against it.
        double allowance = 0;
        std::uint32_t exceeded = 0;
        bool waiting = false;
        bool alarmed = false;
    };
    struct extremes {
        double lowest = 0;
        double highest = 0;
        base::organisation_id ahead;
        double ahead_weight = 1;
    };

    void advance(std::span<const organisation_usage> usage, double capacity);
    extremes lags(std::span<const organisation_usage> usage) const;
    void begin_waiting(std::span<const organisation_usage> usage,
                       double capacity);

    std::map<base::organisation_id, state> states_;
};

}  // namespace bronzehub::dispatch

#endif
