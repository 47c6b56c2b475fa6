#include "accounting/cost_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace bronzehub::accounting {
namespace {

// Samples that count. Long calls are one in twenty in the mixed workloads, so
// a shorter window would hold too few of them for a steady mean.
constexpr double window = 512;

// The service's history counts as this many samples of a new organisation.
constexpr double prior_samples = 4;

constexpr double high_fraction = 0.9;

// Share of its consumption that a call costlier than all history is expected
// to consume further.
constexpr double unseen_tail = 0.25;

}  // namespace

std::size_t cost_distribution::bucket_of(double cost) {
    if (cost <= 0) {
        return 0;
    }
    const double index = std::floor(2 * (std::log2(cost) - lowest_exponent));
    return static_cast<std::size_t>(
        std::clamp(index, 0.0, static_cast<double>(bucket_count - 1)));
}

double cost_distribution::lower_bound(std::size_t bucket) {
    return std::exp2(static_cast<double>(bucket) / 2 + lowest_exponent);
}

void cost_distribution::record(double cost) {
    if (weight_ >= window) {
        constexpr auto keep = static_cast<float>(1 - 1 / window);
        std::ranges::for_each(weights_, [](float& w) { w *= keep; });
        std::ranges::for_each(sums_, [](float& s) { s *= keep; });
        weight_ *= keep;
        sum_ *= keep;
    }
    const std::size_t bucket = bucket_of(cost);
    weights_[bucket] += 1;
    sums_[bucket] += static_cast<float>(cost);
    weight_ += 1;
    sum_ += cost;
}

double cost_distribution::quantile(double fraction) const {
    double below = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        below += weights_[bucket];
        if (weights_[bucket] > 0 && below >= fraction * weight_) {
            return lower_bound(bucket + 1);
        }
    }
    return 0;
}

cost_distribution::tail cost_distribution::above(double cost) const {
    tail result;
    if (cost <= 0) {
        return {.weight = weight_, .sum = sum_};
    }
    const std::size_t first = bucket_of(cost);
    for (std::size_t bucket = first + 1; bucket < bucket_count; ++bucket) {
        result.weight += weights_[bucket];
        result.sum += sums_[bucket];
    }
    // Samples of the call's own bucket are taken as spread evenly over it.
    const double high = lower_bound(first + 1);
    const double low = std::min(cost, lower_bound(first));
    const double part = std::max(0.0, (high - cost) / (high - low));
    const double own = part * weights_[first];
    result.weight += own;
    result.sum += own * (cost + high) / 2;
    return result;
}

void cost_estimator::record(const work_key& key, std::uint32_t kind,
                            double cost) {
    if (!(cost >= 0)) {
        return;
    }
    by_key_[{.work = key, .kind = kind}].record(cost);
    by_service_[key.service].record(cost);
}

const cost_distribution* cost_estimator::history(const work_key& key,
                                                 std::uint32_t kind) const {
    const auto found = by_key_.find({.work = key, .kind = kind});
    return found == by_key_.end() ? nullptr : &found->second;
}

const cost_distribution* cost_estimator::service_history(
    base::service_id service) const {
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? nullptr : &found->second;
}

cost_distribution::tail cost_estimator::combined_tail(const work_key& key,
                                                      std::uint32_t kind,
                                                      double served) const {
    cost_distribution::tail result;
    if (const auto* service = service_history(key.service)) {
        const auto tail = service->above(served);
        const double scale = prior_samples / service->weight();
        result.weight += scale * tail.weight;
        result.sum += scale * tail.sum;
    }
    if (const auto* own = history(key, kind)) {
        const auto tail = own->above(served);
        result.weight += tail.weight;
        result.sum += tail.sum;
    }
    return result;
}

double cost_estimator::hint_ratio(double learnt,
                                  std::optional<double> hint) const {
    if (!hint || !(*hint > 0) || learnt <= 0) {
        return 1;
    }
    return std::clamp(*hint / learnt, 1 / hint_factor, hint_factor);
}

double cost_estimator::estimate(const work_key& key, std::uint32_t kind,
                                std::optional<double> hint) const {
    return expected_remainder(key, kind, hint, 0);
}

double cost_estimator::expected_remainder(const work_key& key,
                                          std::uint32_t kind,
                                          std::optional<double> hint,
                                          double served) const {
    const auto all = combined_tail(key, kind, 0);
    const double mean = all.weight > 0 ? all.sum / all.weight : prior_;
    const double ratio = hint_ratio(mean, hint);
    if (served <= 0) {
        return mean * ratio;
    }
    // Below a thousandth of a sample the tail is rounding error.
    constexpr double least_weight = 1e-3;
    const auto tail = combined_tail(key, kind, served);
    if (tail.weight < least_weight) {
        return std::max(mean - served, served * unseen_tail);
    }
    return std::max(0.0, tail.sum / tail.weight - served) * ratio;
}

double cost_estimator::high_cost(const work_key& key,
                                 std::uint32_t kind) const {
    const auto* own = history(key, kind);
    return own != nullptr ? own->quantile(high_fraction)
                          : estimate(key, kind, std::nullopt);
}

}  // namespace bronzehub::accounting
