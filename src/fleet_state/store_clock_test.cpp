#include "fleet_state/store_clock.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::time_point;
using bronzehub::fleet_state::store_clock;

const time_point start = time_point(1000s);

}  // namespace

TEST_CASE("moments of the store are never placed too late") {
    store_clock tested;
    CHECK_FALSE(tested.to_local(5s, start).has_value());
    // The store's zero is at 990 s; requests take 3 to 200 ms to reach it.
    tested.on_response(start - 200ms, 10s);
    CHECK(tested.to_local(10s, start + 1s) == start - 200ms);
    tested.on_response(start + 997ms, 11s);
    CHECK(tested.to_local(11s, start + 2s) == start + 997ms);
    CHECK(tested.to_local(10s, start + 2s) == start - 3ms);
}

// Guards against knowledge that looks fresh because it lay unread while the
// machine was suspended.
TEST_CASE("a message that lay unread keeps its age") {
    store_clock tested;
    tested.on_response(start, 10s);
    const auto woke = start + 8s;
    CHECK(woke - *tested.to_local(11s, woke) == 7s);
}

TEST_CASE("nothing is placed in the future, also after the store's restart") {
    store_clock tested;
    tested.on_response(start, 100s);
    tested.on_response(start + 5s, 1s);
    CHECK(tested.to_local(2s, start + 6s) == start + 6s);
    CHECK(tested.to_local(105s, start + 6s) == start + 6s);
}
