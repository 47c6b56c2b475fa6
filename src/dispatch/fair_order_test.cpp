#include "dispatch/fair_order.hpp"

#include <array>
#include <catch2/catch.hpp>

namespace bronzehub::dispatch {
namespace {

using base::organisation_id;

constexpr organisation_id first(1);
constexpr organisation_id second(2);
constexpr organisation_id third(3);

bool anybody(organisation_id) {
    return true;
}

double position_of(const fair_order& order, organisation_id organisation) {
    for (const auto& state : order.states()) {
        if (state.organisation == organisation) {
            return state.position();
        }
    }
    return 0;
}

// Guards against weights that do not decide shares.
TEST_CASE("service is shared by weight") {
    fair_order order;
    const std::array<fair_order::weight_entry, 2> weights{
        {{first, 3.0}, {second, 1.0}}};
    order.set_weights(weights);
    order.set_waiting(first, true);
    order.set_waiting(second, true);
    int grants = 0;
    for (int i = 0; i < 400; ++i) {
        const auto next = order.pick(anybody);
        grants += next == first ? 1 : 0;
        order.add_served(*next, 10);
    }
    CHECK(grants == 300);
}

// Guards against an organisation that saves up idle time and then crowds out
// the others.
TEST_CASE("idle time earns no credit") {
    fair_order order;
    const bool others_wait = GENERATE(true, false);
    order.set_waiting(second, others_wait);
    order.add_served(second, 1000);
    order.set_waiting(first, true);
    order.set_waiting(second, true);
    CHECK(position_of(order, first) == Approx(position_of(order, second)));
}

// Guards against a newcomer behind those that waited all the time.
TEST_CASE("a newcomer starts at the lowest position") {
    fair_order order;
    order.set_waiting(first, true);
    order.set_waiting(second, true);
    order.add_served(first, 500);
    order.add_served(second, 300);
    order.set_waiting(third, true);
    CHECK(position_of(order, third) == Approx(300));
}

// Guards against long calls that count for nothing until they end.
TEST_CASE("running work counts by its expected remainder") {
    fair_order order;
    order.set_waiting(first, true);
    order.set_waiting(second, true);
    order.add_remainder(first, 100);
    CHECK(order.pick(anybody) == second);
    order.add_unreported(second, 99);
    CHECK(order.pick(anybody) == first);
}

// Guards against starvation after a partition in which one organisation was
// served far beyond its share.
TEST_CASE("the debt is bounded") {
    fair_order order;
    order.set_debt(50);
    order.set_waiting(first, true);
    order.set_waiting(second, true);
    order.add_served(first, 10000);
    order.clamp(std::array{first});
    CHECK(position_of(order, first) - position_of(order, second) == Approx(50));
}

// Guards against a changed weight that revalues past service.
TEST_CASE("a new weight leaves the position as it is") {
    fair_order order;
    order.add_served(first, 100);
    order.add_remainder(first, 60);
    const std::array<fair_order::weight_entry, 2> weights{
        {{first, 9.0}, {second, 1.0}}};
    order.set_weights(weights);
    CHECK(position_of(order, first) ==
          Approx(100 + 60 * fair_order::remainder_share));
}

}  // namespace
}  // namespace bronzehub::dispatch
