#include "gap_meter.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>
#include <utility>

namespace bronzehub::bench {
namespace {

constexpr double infinity = std::numeric_limits<double>::infinity();

}  // namespace

gap_meter::gap_meter(std::vector<double> weights, double capacity)
    : weights_(std::move(weights)),
      capacity_(capacity),
      waiting_since_(weights_.size()),
      ended_service_(weights_.size()),
      calls_(weights_.size()),
      baselines_(weights_.size()) {
    const double mean = std::accumulate(weights_.begin(), weights_.end(), 0.0) /
                        static_cast<double>(weights_.size());
    std::ranges::for_each(weights_, [mean](double& w) { w /= mean; });
}

double gap_meter::served_by(std::uint64_t call, double now) const {
    const auto& own = calls_[organisation_of_.at(call)];
    const auto since = own.at(call).running_since;
    return since ? now - *since : 0;
}

double gap_meter::served(std::size_t organisation, double now) const {
    double sum = ended_service_[organisation];
    for (const auto& [id, call] : calls_[organisation]) {
        sum += call.running_since ? now - *call.running_since : 0;
    }
    return sum;
}

void gap_meter::begin(std::size_t organisation, double now) {
    baseline start{.served = served(organisation, now), .old_calls = {}};
    for (const auto& [id, call] : calls_[organisation]) {
        start.old_calls.push_back({.call = id, .served = served_by(id, now)});
    }
    baselines_[organisation].insert_or_assign(now, std::move(start));
}

void gap_meter::set_waiting(std::size_t organisation, bool waiting,
                            double now) {
    if (waiting_since_[organisation].has_value() == waiting) {
        return;
    }
    if (!waiting) {
        waiting_since_[organisation].reset();
        drop_unused_baselines();
        return;
    }
    waiting_since_[organisation] = now;
    for (std::size_t other = 0; other < weights_.size(); ++other) {
        if (waiting_since_[other]) {
            begin(other, now);
        }
    }
}

void gap_meter::drop_unused_baselines() {
    std::set<double> starts;
    for (const auto& since : waiting_since_) {
        if (since) {
            starts.insert(*since);
        }
    }
    for (auto& own : baselines_) {
        std::erase_if(own, [&](const auto& entry) {
            return !starts.contains(entry.first);
        });
    }
}

void gap_meter::admitted(std::size_t organisation, std::uint64_t call) {
    calls_[organisation][call] = {.organisation = organisation,
                                  .running_since = std::nullopt};
    organisation_of_[call] = organisation;
}

void gap_meter::running(std::uint64_t call, double now) {
    calls_[organisation_of_.at(call)].at(call).running_since = now;
}

void gap_meter::ended(std::uint64_t call, double now) {
    const std::size_t organisation = organisation_of_.at(call);
    const double total = served_by(call, now);
    ended_service_[organisation] += total;
    for (auto& [start, base] : baselines_[organisation]) {
        const auto old =
            std::ranges::find(base.old_calls, call, &old_call::call);
        if (old != base.old_calls.end()) {
            base.old_served += total - old->served;
            base.old_calls.erase(old);
        }
    }
    calls_[organisation].erase(call);
    organisation_of_.erase(call);
}

double gap_meter::since(std::size_t organisation, double start, double now) {
    const baseline& base = baselines_[organisation].at(start);
    double old = base.old_served;
    for (const old_call& call : base.old_calls) {
        old += served_by(call.call, now) - call.served;
    }
    return (served(organisation, now) - base.served - old) /
           weights_[organisation] / capacity_;
}

void gap_meter::sample(double now) {
    std::set<double> starts;
    for (const auto& since_when : waiting_since_) {
        if (since_when) {
            starts.insert(*since_when);
        }
    }
    present_gap_ = 0;
    for (const double start : starts) {
        // A pair counts from the later of its two moments, so the
        // organisations waiting by `start` are compared with those that
        // began at `start`.
        double lowest = infinity;
        double highest = -infinity;
        double lowest_new = infinity;
        double highest_new = -infinity;
        for (std::size_t i = 0; i < weights_.size(); ++i) {
            if (!waiting_since_[i] || *waiting_since_[i] > start) {
                continue;
            }
            const double value = since(i, start, now);
            lowest = std::min(lowest, value);
            highest = std::max(highest, value);
            if (*waiting_since_[i] == start) {
                lowest_new = std::min(lowest_new, value);
                highest_new = std::max(highest_new, value);
            }
        }
        present_gap_ = std::max(
            {present_gap_, highest - lowest_new, highest_new - lowest});
    }
    largest_gap_ = std::max(largest_gap_, present_gap_);
}

void gap_meter::restart(double now) {
    largest_gap_ = 0;
    for (std::size_t i = 0; i < weights_.size(); ++i) {
        baselines_[i].clear();
        if (waiting_since_[i]) {
            waiting_since_[i] = now;
            begin(i, now);
        }
    }
}

}  // namespace bronzehub::bench
