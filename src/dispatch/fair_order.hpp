// The order between the organisations that wait for one service.
//
// Each organisation has a virtual time that advances by served cost units
// over weight. Its position adds a share of the work that it is still
// expected to receive from running calls. The waiting organisation with the
// lowest position is next. Only differences of positions matter.
#ifndef BRONZEHUB_DISPATCH_FAIR_ORDER_HPP
#define BRONZEHUB_DISPATCH_FAIR_ORDER_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/strong_id.hpp"

namespace bronzehub::dispatch {

// Not thread-safe.
class fair_order {
public:
    using weight_entry = std::pair<base::organisation_id, double>;

    // The share of the reported remainder that counts. With all of it the
    // order equalises promised service, and service received differs by what
    // the running calls still owe; with none of it, long calls that are
    // granted together are noticed a little late. fairness_bench measures 0,
    // 0.1, 0.25, 0.5, 0.75 and 1: from 0.25 up, gaps among long calls grow
    // and an organisation that begins to wait among them reaches its share
    // later.
    static constexpr double remainder_share = 0.1;

    struct state {
        base::organisation_id organisation;
        double weight = 1;
        double virtual_time = 0;  // Cost units over weight.
        double remainder = 0;     // Reported by the entry daemons.
        double unreported = 0;    // Own grants that no report shows yet.
        double received = 0;      // All service since the first report.
        bool waiting = false;

        double position() const {
            return virtual_time +
                   (remainder_share * remainder + unreported) / weight;
        }
    };

    // Replaces the weights and scales them to a mean of 1. Weights that are
    // not positive are ignored.
    void set_weights(std::span<const weight_entry> weights);

    // Forgets all positions; the weights stay.
    void reset();

    // The bound of the clamp in cost units over weight.
    void set_debt(double debt) { debt_ = debt; }

    void add_served(base::organisation_id organisation, double units);
    void add_remainder(base::organisation_id organisation, double units);
    // Service for the fairness alarm; the order does not use it.
    void add_received(base::organisation_id organisation, double units);
    void add_unreported(base::organisation_id organisation, double units);

    // Whether the organisation waits anywhere in the fleet. On its return its
    // position is raised to the lowest of those that wait, so that idle time
    // earns no credit. O(organisations that wait), or O(organisations) when
    // no other waits.
    void set_waiting(base::organisation_id organisation, bool waiting);

    // Bounds how far the organisation may be ahead of the lowest position.
    void clamp(std::span<const base::organisation_id> organisations);

    // The waiting organisation with the lowest position among those that may
    // receive a grant; the lowest id among equals. O(those that wait).
    std::optional<base::organisation_id> pick(
        const std::function<bool(base::organisation_id)>& may_receive) const;

    // Lowest position of the organisations that wait.
    std::optional<double> lowest_position() const;

    // Every organisation seen so far, in order of its first appearance.
    std::span<const state> states() const { return states_; }

private:
    state& at(base::organisation_id organisation);
    double floor_without(std::size_t index) const;
    double weight_of(base::organisation_id organisation) const;

    std::vector<state> states_;
    std::unordered_map<base::organisation_id, std::size_t> index_;
    std::vector<std::size_t> waiting_;  // Indices into states_.
    std::unordered_map<base::organisation_id, double> weights_;
    double debt_ = 0;
};

}  // namespace bronzehub::dispatch

#endif
