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

// A decaying histogram of costs in buckets of half an octave. A value.
class cost_distribution {
public:
    // Forgets old samples at the rate of one in `window`.
    void record(double cost);

    bool empty() const { return weight_ <= 0; }
    double weight() const { return weight_; }
    double mean() const { return weight_ > 0 ? sum_ / weight_ : 0; }

    // The cost that the given fraction of calls stays below, rounded up to
    // the end of its bucket. 0 when empty.
    double quantile(double fraction) const;

    // Weight and summed cost of the samples above `cost`.
    struct tail {
        double weight = 0;
        double sum = 0;
    };
    tail above(double cost) const;

private:
    // Half octaves from 2^-4 units up cover costs to 2^20 units.
    static constexpr std::size_t bucket_count = 48;
    static constexpr double lowest_exponent = -4;

    static std::size_t bucket_of(double cost);
    static double lower_bound(std::size_t bucket);

    std::array<float, bucket_count> weights_{};
    std::array<float, bucket_count> sums_{};
    double weight_ = 0;
    double sum_ = 0;
};

// Not thread-safe.
class cost_estimator {
public:
    // A hint moves the estimate by at most this factor from the learnt value,
    // which bounds what a false hint can gain.
    static constexpr double hint_factor = 4;

    // `prior` is the estimate for a service that has no history.
    explicit cost_estimator(double prior = 1) : prior_(prior) {}

    void record(const work_key& key, std::uint32_t kind, double cost);

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
    cost_distribution::tail combined_tail(const work_key& key,
                                          std::uint32_t kind,
                                          double served) const;

    double prior_;
    std::map<history_key, cost_distribution> by_key_;
    std::map<base::service_id, cost_distribution> by_service_;
};

}  // namespace bronzehub::accounting

#endif
