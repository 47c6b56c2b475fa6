// Learns what calls cost, so that a call can be charged before it ends.
//
// Short and long requests look alike at entry. The estimator therefore keeps
// the whole distribution of past costs and answers what remains of a call
// that has already consumed some cost units. Use it for scheduling and wait
// estimates, not for billing.
#ifndef BRONZEHUB_ACCOUNTING_COST_ESTIMATOR_HPP
#define BRONZEHUB_ACCOUNTING_COST_ESTIMATOR_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "accounting/work_key.hpp"

namespace bronzehub::accounting {

// How calls end as their consumption grows: per bucket of half an octave, how
// many calls reached it and how many ended in it. Counting the calls that
// reached a bucket, and not only those that ended, keeps long calls in the
// estimate while they still run. A value; old samples decay.
class cost_distribution {
public:
    // A running call's consumption grew. `before` is 0 for a new call.
    void advance(double before, double after);

    // A call ended whose consumption was last advanced to `before`.
    void record(double before, double cost);

    bool empty() const { return reached_[0] <= 0; }

    // The expected total cost of a call that has consumed `served`. `prior`
    // counts as a few samples in each bucket. Nothing without any sample.
    std::optional<double> expected_total(double served,
                                         const cost_distribution* prior) const;

    // The cost that the given fraction of calls stays below, rounded up to
    // the end of its bucket. 0 when empty.
    double quantile(double fraction) const;

private:
    // Half octaves from 2^-4 units up cover costs to 2^20 units.
    static constexpr std::size_t bucket_count = 48;

    struct bucket_state {
        double reached = 0;
        double ended = 0;
        double ended_cost = 0;
    };

    static std::size_t bucket_of(double cost);
    static double lower_bound(std::size_t bucket);
    void reach(std::size_t bucket);
    bucket_state state_of(std::size_t bucket) const;
    bucket_state combined(std::size_t bucket,
                          const cost_distribution* prior) const;

    std::array<float, bucket_count> reached_{};
    std::array<float, bucket_count> ended_{};
    std::array<float, bucket_count> ended_cost_{};
};

// Not thread-safe.
class cost_estimator {
public:
    // A hint moves the estimate by at most this factor from the learnt value,
    // which bounds what a false hint can gain.
    static constexpr double hint_factor = 4;

    // `prior` is the estimate for a service that has no history.
    explicit cost_estimator(double prior = 1) : prior_(prior) {}

    // A running call's consumption grew from `before` to `after`.
    void advance(const work_key& key, std::uint32_t kind, double before,
                 double after);

    // A call ended whose consumption was last advanced to `before`.
    void record(const work_key& key, std::uint32_t kind, double before,
                double cost);

    // Cost units that a new call is expected to consume.
    double estimate(const work_key& key, std::uint32_t kind,
                    std::optional<double> hint) const;

    // Cost units that a call which consumed `served` is expected to consume
    // until it ends.
    double expected_remainder(const work_key& key, std::uint32_t kind,
                              std::optional<double> hint, double served) const;

    // High quantile of past costs, or the estimate without history.
    double high_cost(const work_key& key, std::uint32_t kind) const;

private:
    struct history_key {
        work_key work;
        std::uint32_t kind = 0;
        friend constexpr auto operator<=>(const history_key&,
                                          const history_key&) = default;
    };

    const cost_distribution* history(const work_key& key,
                                     std::uint32_t kind) const;
    const cost_distribution* service_history(base::service_id service) const;
    double hint_ratio(double learnt, std::optional<double> hint) const;
    double expected_total(const work_key& key, std::uint32_t kind,
                          double served) const;

    double prior_;
    std::map<history_key, cost_distribution> by_key_;
    std::map<base::service_id, cost_distribution> by_service_;
};

}  // namespace bronzehub::accounting

#endif
