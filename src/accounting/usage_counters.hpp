// What this daemon's calls have consumed, and the reports of it.
//
// Totals only grow within an incarnation, so that a receiver can tell lost,
// repeated and reordered reports apart (see `usage_merge.hpp`).
#ifndef BRONZEHUB_ACCOUNTING_USAGE_COUNTERS_HPP
#define BRONZEHUB_ACCOUNTING_USAGE_COUNTERS_HPP

#include <functional>
#include <map>

#include "accounting/work_key.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::accounting {

// The state of one organisation's use of one service.
struct usage_state {
    double served_total = 0;
    double expected_remainder = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    friend bool operator==(const usage_state&, const usage_state&) = default;
};

// Not thread-safe.
class usage_counters {
public:
    // The state that the next report carries. Created on first use.
    usage_state& at(const work_key& key) { return entries_[key].now; }

    const usage_state* find(const work_key& key) const;

    // Rows that differ from the last report, or all rows. O(rows).
    protocol::usage_report take_report(bool complete);

    void for_each(
        const std::function<void(const work_key&, usage_state&)>& visit);

private:
    struct entry {
        usage_state now;
        usage_state reported;
    };

    std::map<work_key, entry> entries_;
};

}  // namespace bronzehub::accounting

#endif
