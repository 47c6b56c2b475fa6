// The workloads and designs that fairness_bench compares.
#ifndef BRONZEHUB_BENCH_FAIRNESS_WORKLOAD_HPP
#define BRONZEHUB_BENCH_FAIRNESS_WORKLOAD_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bronzehub::bench {

// All times in seconds of the simulated clock.
struct workload {
    std::string name;
    double length = 120;
    // Durations are uniform between half and one and a half of the mean.
    double short_mean = 0.5;
    // Share of calls that take `rebuild_factor` times as long.
    double rebuild_share = 0;
    double rebuild_factor = 200;
    bool one_entry = false;  // 90 % of all load enters at the first daemon.
    std::size_t flood_factor = 1;  // Of the last organisation.
    std::optional<double> newcomer_at =
        std::nullopt;  // The last organisation starts then.
    std::optional<double> partition_from = std::nullopt;
    std::optional<double> partition_to = std::nullopt;
    std::optional<double> kill_every = std::nullopt;
    double detection = 3;  // Seconds until a lost host is declared dead.
};

enum class slot_sharing { late_binding, fixed_slices, lent_slices };

struct design {
    std::string name;
    slot_sharing sharing = slot_sharing::late_binding;
    double exchange = 0.5;  // Seconds between usage reports.
    bool charge_as_it_streams = true;
    bool merge_usage_reports = true;
    bool count_expected_remainder = true;
    bool grant_ahead = true;
};

struct fleet_size {
    std::size_t daemons = 8;
    std::size_t failure_domains = 3;
    std::size_t organisations = 15;
    std::size_t replicas = 20;
    std::uint32_t slots = 16;
    // Waiting calls that each organisation keeps up.
    std::size_t depth = 40;
    double detection = 3;  // Seconds until a lost host is declared dead.
};

std::span<const workload> all_workloads();
std::span<const design> all_designs();

}  // namespace bronzehub::bench

#endif
