#include "overload/segment_demand.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::overload::segment_demand;

}  // namespace

// Load pattern: general overload, in which every part is refused now and then.
// Guards against parts that are read at many engines while all are full.
TEST_CASE("a part that is refused now and then keeps its homes") {
    paused_clock time;
    segment_demand tested(time.view());
    for (int round = 0; round < 20; ++round) {
        for (std::uint64_t part = 0; part < 100; ++part) {
            tested.on_homes_full(part);
        }
        time.advance(20s);
        CHECK(tested.home_count(7) == segment_demand::min_homes);
    }
}

// Load pattern: one part gets a quarter of all requests. Guards against
// requests that are refused while other engines have room.
TEST_CASE("a hot part gets more homes and gives them up again") {
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
