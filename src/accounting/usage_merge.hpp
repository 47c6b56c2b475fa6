// Merges usage reports of all hosts so that each unit counts once.
//
// Per (host, incarnation, service, organisation) the highest total counts and
// the increase is the difference. Lost, repeated and reordered reports are
// therefore harmless.
#ifndef BRONZEHUB_ACCOUNTING_USAGE_MERGE_HPP
#define BRONZEHUB_ACCOUNTING_USAGE_MERGE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "accounting/work_key.hpp"
#include "base/strong_id.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::accounting {

// What a report changes for one organisation and service.
struct usage_change {
    work_key key;
    double served = 0;     // Increase of the served total.
    double remainder = 0;  // Change of the sum of expected remainders.
    // Waiting calls at the host; empty when the report is older than another.
    std::optional<std::uint32_t> waiting;
    std::uint64_t last_grant = 0;  // Belongs to `waiting`.
};

// Not thread-safe.
class usage_merge {
public:
    using change_hook = std::function<void(const usage_change&)>;

    // Calls `changed` for every row that changes something. The first total
    // of a row that the merge cannot know to have started at zero is its
    // baseline and increases nothing.
    void merge(const protocol::sender& from,
               const protocol::usage_report& report,
               const change_hook& changed);

    // Drops a dead host's running work. Its totals are kept, because a host
    // that was only cut off reports the same incarnation again.
    void drop_running(const base::host_id& host, const change_hook& changed);

    // Forgets what is known of a service: the next totals are baselines.
    void forget_service(base::service_id service);

private:
    struct row_state {
        double served_total = 0;
        double remainder = 0;
        std::uint64_t sequence = 0;
    };
    struct host_state {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool complete_seen = false;
        std::map<work_key, row_state> rows;
    };

    static void merge_row(host_state& host, std::uint64_t sequence,
                          const protocol::usage_row& row,
                          const change_hook& changed);
    static void drop_missing_rows(host_state& host, std::uint64_t sequence,
                                  const change_hook& changed);

    std::map<base::host_id, host_state> hosts_;
};

}  // namespace bronzehub::accounting

#endif
