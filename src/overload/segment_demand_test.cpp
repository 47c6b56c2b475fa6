#include "overload/segment_demand.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::overload::segment_demand;

}  // namespace

// Load pattern: general overload, in which the homes of every segment are full
// now and then. Guards against segments that are prefilled on many engines
// while all engines are full.
TEST_CASE("occasional refusals do not add homes to a segment") {
    paused_clock time;
    segment_demand tested(time.view());
    for (int round = 0; round < 20; ++round) {
        for (std::uint64_t segment = 0; segment < 100; ++segment) {
            tested.on_homes_full(segment);
        }
        time.advance(20s);
        CHECK(tested.home_count(7) == segment_demand::min_homes);
    }
}

// Load pattern: one segment is part of a quarter of all requests. Guards
// against refusing its requests while other engines have free slots.
TEST_CASE("a segment in high demand gets more homes until demand falls") {
    paused_clock time;
    segment_demand tested(time.view());
    for (int i = 0; i < 40; ++i) {
        tested.on_homes_full(7);
        time.advance(100ms);
    }
    CHECK(tested.home_count(7) > 12);
    CHECK(tested.home_count(8) == segment_demand::min_homes);
    for (int i = 0; i < 1000; ++i) {
        tested.on_homes_full(7);
    }
    CHECK(tested.home_count(7) == segment_demand::max_homes);
    time.advance(60s);
    tested.prune();
    CHECK(tested.home_count(7) == segment_demand::min_homes);
}
