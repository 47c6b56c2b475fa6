#include "workload.hpp"

namespace bronzehub::bench {

std::span<const workload> all_workloads() {
    static const std::vector<workload> table{
        {.name = "short_only"},
        {.name = "one_in_twenty_rebuilds",
         .length = 240,
         .rebuild_share = 0.05},
        {.name = "checks_and_rebuilds",
         .length = 60,
         .short_mean = 0.05,
         .rebuild_share = 0.05},
        {.name = "one_entry_daemon", .one_entry = true},
        {.name = "flood", .flood_factor = 20},
        {.name = "newcomer", .newcomer_at = 30},
        {.name = "newcomer_among_rebuilds",
         .length = 240,
         .rebuild_share = 0.05,
         .newcomer_at = 120},
        {.name = "partition", .partition_from = 20, .partition_to = 80},
        {.name = "daemon_killed", .kill_every = 10},
        {.name = "daemon_killed_detected_in_500_ms",
         .kill_every = 10,
         .detection = 0.5},
    };
    return table;
}

std::span<const design> all_designs() {
    static const std::vector<design> table{
        {.name = "fixed_slices",
         .sharing = slot_sharing::fixed_slices,
         .grant_ahead = false},
        {.name = "lent_slices",
         .sharing = slot_sharing::lent_slices,
         .grant_ahead = false},
        {.name = "local_counts", .merge_usage_reports = false},
        {.name = "charge_at_end_2s",
         .exchange = 2,
         .charge_as_it_streams = false,
         .count_expected_remainder = false},
        {.name = "streamed_2s",
         .exchange = 2,
         .count_expected_remainder = false},
        {.name = "streamed_remainder_2s", .exchange = 2},
        {.name = "chosen_without_granting_ahead", .grant_ahead = false},
        {.name = "chosen"},
    };
    return table;
}

}  // namespace bronzehub::bench
