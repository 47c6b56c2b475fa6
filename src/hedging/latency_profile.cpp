#include "hedging/latency_profile.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bronzehub::hedging {
namespace {

using seconds = std::chrono::duration<double>;

constexpr double buckets_per_doubling = 8;
constexpr seconds shortest{0.001};
// The weights are decayed in steps, as it takes a pass over all buckets.
constexpr std::chrono::seconds decay_interval{1};

}  // namespace

void latency_profile::decay(histogram& samples) const {
    const base::duration passed = clock_.now() - samples.decayed_at;
    if (passed < decay_interval) {
        return;
    }
    const auto factor =
        static_cast<float>(std::exp2(-(seconds(passed) / seconds(half_life))));
    std::ranges::for_each(samples.weights,
                          [factor](float& weight) { weight *= factor; });
    samples.decayed_at = clock_.now();
}

void latency_profile::on_response(std::string_view kind,
                                  base::duration elapsed) {
    auto found = kinds_.find(kind);
    if (found == kinds_.end()) {
        if (kinds_.size() >= max_kinds) {
            return;
        }
        found = kinds_.emplace(std::string(kind), histogram{}).first;
        found->second.decayed_at = clock_.now();
    }
    decay(found->second);
    const double ratio = std::max(1.0, seconds(elapsed) / shortest);
    const auto bucket =
        static_cast<std::size_t>(std::log2(ratio) * buckets_per_doubling);
    found->second.weights.at(std::min(bucket, bucket_count - 1)) += 1;
}

std::optional<base::duration> latency_profile::quantile(std::string_view kind,
                                                        double fraction) const {
    const auto found = kinds_.find(kind);
    if (found == kinds_.end()) {
        return std::nullopt;
    }
    const auto& weights = found->second.weights;
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    if ((1 - fraction) * total < min_samples_above) {
        return std::nullopt;
    }
    double below = 0;
    const auto bucket = std::ranges::find_if(weights, [&](float weight) {
        below += weight;
        return below >= fraction * total;
    });
    // The upper end of the bucket, so that no more than the stated fraction of
    // the requests takes longer.
    const auto index = static_cast<double>(bucket - weights.begin());
    return std::chrono::duration_cast<base::duration>(
        shortest * std::exp2((index + 1) / buckets_per_doubling));
}

}  // namespace bronzehub::hedging
