#include "dispatch/fair_order.hpp"

#include <algorithm>
#include <limits>

namespace bronzehub::dispatch {

double fair_order::weight_of(base::organisation_id organisation) const {
    const auto found = weights_.find(organisation);
    return found == weights_.end() ? 1 : found->second;
}

void fair_order::set_weights(std::span<const weight_entry> weights) {
    weights_.clear();
    double sum = 0;
    for (const auto& [organisation, weight] : weights) {
        if (weight > 0) {
            weights_[organisation] = weight;
            sum += weight;
        }
    }
    const double mean = sum / static_cast<double>(weights_.size());
    for (auto& [organisation, weight] : weights_) {
        weight /= mean;
    }
    for (state& entry : states_) {
        const double position = entry.position();
        entry.weight = weight_of(entry.organisation);
        // A new weight changes the future only.
        entry.virtual_time += position - entry.position();
    }
}

void fair_order::reset() {
    states_.clear();
    index_.clear();
    waiting_.clear();
}

fair_order::state& fair_order::at(base::organisation_id organisation) {
    const auto [entry, added] =
        index_.try_emplace(organisation, states_.size());
    if (added) {
        states_.push_back(
            {.organisation = organisation, .weight = weight_of(organisation)});
    }
    return states_[entry->second];
}

void fair_order::add_served(base::organisation_id organisation, double units) {
    state& entry = at(organisation);
    entry.virtual_time += units / entry.weight;
}

void fair_order::add_remainder(base::organisation_id organisation,
                               double units) {
    state& entry = at(organisation);
    entry.remainder = std::max(0.0, entry.remainder + units);
}

void fair_order::add_received(base::organisation_id organisation,
                              double units) {
    at(organisation).received += units;
}

void fair_order::add_unreported(base::organisation_id organisation,
                                double units) {
    state& entry = at(organisation);
    entry.unreported = std::max(0.0, entry.unreported + units);
}

std::optional<double> fair_order::lowest_position() const {
    if (waiting_.empty()) {
        return std::nullopt;
    }
    double lowest = std::numeric_limits<double>::infinity();
    for (const std::size_t index : waiting_) {
        lowest = std::min(lowest, states_[index].position());
    }
    return lowest;
}

double fair_order::floor_without(std::size_t index) const {
    if (const auto lowest = lowest_position()) {
        return *lowest;
    }
    // Nobody waited: everybody had what they asked for, so all start equal.
    double highest = states_[index].position();
    for (const state& entry : states_) {
        highest = std::max(highest, entry.position());
    }
    return highest;
}

void fair_order::set_waiting(base::organisation_id organisation, bool waiting) {
    state& entry = at(organisation);
    if (entry.waiting == waiting) {
        return;
    }
    const std::size_t index = index_.at(organisation);
    entry.waiting = waiting;
    if (!waiting) {
        std::erase(waiting_, index);
        return;
    }
    entry.virtual_time +=
        std::max(0.0, floor_without(index) - entry.position());
    waiting_.push_back(index);
}

void fair_order::clamp(std::span<const base::organisation_id> organisations) {
    const auto lowest = lowest_position();
    if (!lowest || debt_ <= 0) {
        return;
    }
    for (const base::organisation_id organisation : organisations) {
        state& entry = at(organisation);
        const double excess = entry.position() - (*lowest + debt_);
        entry.virtual_time -= std::max(0.0, excess);
    }
}

std::optional<base::organisation_id> fair_order::pick(
    const std::function<bool(base::organisation_id)>& may_receive) const {
    const state* best = nullptr;
    const auto before = [](const state& left, const state& right) {
        return std::pair(left.position(), left.organisation) <
               std::pair(right.position(), right.organisation);
    };
    for (const std::size_t index : waiting_) {
        const state& entry = states_[index];
        if ((best == nullptr || before(entry, *best)) &&
            may_receive(entry.organisation)) {
            best = &entry;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->organisation);
}

}  // namespace bronzehub::dispatch
