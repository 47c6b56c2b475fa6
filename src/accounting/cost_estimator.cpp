#include "accounting/cost_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace bronzehub::accounting {
namespace {

// Samples of a bucket that count. Long calls are one in twenty in the mixed
// workloads; each bucket keeps its own window, so short calls do not displace
// what is known of long ones.
constexpr float window = 256;

// The service's history counts as this many samples of a new organisation.
constexpr double prior_samples = 4;

constexpr double high_fraction = 0.9;

// Share of its consumption that a call costlier than all history is expected
// to consume further.
constexpr double unseen_tail = 0.25;

// Fewer samples than this are rounding error of the decay.
constexpr double least_samples = 1e-3;

constexpr double lowest_exponent = -4;

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
    static const auto bounds = [] {
        std::array<double, bucket_count + 1> result{};
        for (std::size_t i = 0; i < result.size(); ++i) {
            result[i] = std::exp2(static_cast<double>(i) / 2 + lowest_exponent);
        }
        return result;
    }();
    return bounds[bucket];
}

void cost_distribution::reach(std::size_t bucket) {
    if (reached_[bucket] >= window) {
        constexpr float keep = 1 - 1 / window;
        reached_[bucket] *= keep;
        ended_[bucket] *= keep;
        ended_cost_[bucket] *= keep;
    }
    reached_[bucket] += 1;
}

void cost_distribution::advance(double before, double after) {
    if (after <= before) {
        return;
    }
    const std::size_t last = bucket_of(after);
    for (std::size_t bucket = before > 0 ? bucket_of(before) + 1 : 0;
         bucket <= last; ++bucket) {
        reach(bucket);
    }
}

void cost_distribution::record(double before, double cost) {
    if (cost <= 0) {
        reach(0);
    }
    advance(before, cost);
    const std::size_t bucket = bucket_of(cost);
    ended_[bucket] += 1;
    ended_cost_[bucket] += static_cast<float>(cost);
}

cost_distribution::bucket_state cost_distribution::state_of(
    std::size_t bucket) const {
    return {.reached = reached_[bucket],
            .ended = ended_[bucket],
            .ended_cost = ended_cost_[bucket]};
}

cost_distribution::bucket_state cost_distribution::combined(
    std::size_t bucket, const cost_distribution* prior) const {
    bucket_state result = state_of(bucket);
    if (prior != nullptr && prior != this) {
        const bucket_state other = prior->state_of(bucket);
        const double scale =
            prior_samples / std::max(other.reached, prior_samples);
        result.reached += scale * other.reached;
        result.ended += scale * other.ended;
        result.ended_cost += scale * other.ended_cost;
    }
    return result;
}

std::optional<double> cost_distribution::expected_total(
    double served, const cost_distribution* prior) const {
    if (combined(0, prior).reached < least_samples) {
        return std::nullopt;
    }
    double alive = 1;
    double expected = 0;
    const std::size_t first = bucket_of(served);
    for (std::size_t bucket = first; bucket < bucket_count; ++bucket) {
        const bucket_state state = combined(bucket, prior);
        const double low = std::max(served, lower_bound(bucket));
        if (state.reached < least_samples) {
            return expected + alive * low * (1 + unseen_tail);
        }
        double share = std::min(1.0, state.ended / state.reached);
        double mean = state.ended > 0 ? state.ended_cost / state.ended : low;
        if (bucket == first && served > 0) {
            // The calls that end in this bucket are taken as spread evenly
            // over it; those below `served` have ended already.
            const double high = lower_bound(bucket + 1);
            const double width = high - std::min(served, lower_bound(bucket));
            const double part = std::max(0.0, (high - served) / width);
            share = share * part / std::max(1e-9, 1 - share * (1 - part));
            mean = (served + high) / 2;
        }
        expected += alive * share * mean;
        alive *= 1 - share;
        if (alive < least_samples) {
            break;
        }
    }
    return expected + alive * std::max(served, 0.0);
}

double cost_distribution::quantile(double fraction) const {
    double alive = 1;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        if (reached_[bucket] <= 0) {
            return lower_bound(bucket);
        }
        alive *= 1 - ended_[bucket] / reached_[bucket];
        if (alive <= 1 - fraction) {
            return lower_bound(bucket + 1);
        }
    }
    return lower_bound(bucket_count);
}

void cost_estimator::advance(const work_key& key, std::uint32_t kind,
                             double before, double after) {
    by_key_[{.work = key, .kind = kind}].advance(before, after);
    by_service_[key.service].advance(before, after);
}

void cost_estimator::record(const work_key& key, std::uint32_t kind,
                            double before, double cost) {
    if (!(cost >= 0)) {
        return;
    }
    by_key_[{.work = key, .kind = kind}].record(before, cost);
    by_service_[key.service].record(before, cost);
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

double cost_estimator::expected_total(const work_key& key, std::uint32_t kind,
                                      double served) const {
    const auto* service = service_history(key.service);
    const auto* own = history(key, kind);
    if (service == nullptr) {
        return std::max(prior_, served);
    }
    const auto& known = own == nullptr ? *service : *own;
    return known.expected_total(served, service).value_or(prior_);
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
    const double mean = expected_total(key, kind, 0);
    const double ratio = hint_ratio(mean, hint);
    if (served <= 0) {
        return mean * ratio;
    }
    return std::max(0.0, expected_total(key, kind, served) - served) * ratio;
}

double cost_estimator::high_cost(const work_key& key,
                                 std::uint32_t kind) const {
    const auto* own = history(key, kind);
    return own != nullptr ? own->quantile(high_fraction)
                          : estimate(key, kind, std::nullopt);
}

}  // namespace bronzehub::accounting
