#include "fleet_state/store_clock.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::time_point;
using bronzehub::fleet_state::store_clock;

const time_point start = time_point(1000s);

}  // namespace

// Guards against store data that looks newer than it is because a request took
// long to reach the store.
TEST_CASE("a store time is never converted to a later local time") {
    store_clock tested;
    CHECK_FALSE(tested.to_local(5s, start).has_value());
    // The store's clock was zero at 990 s; requests take 3 to 200 ms to reach
    // it.
    tested.on_response(start - 200ms, 10s);
    CHECK(tested.to_local(10s, start + 1s) == start - 200ms);
    tested.on_response(start + 997ms, 11s);
    CHECK(tested.to_local(11s, start + 2s) == start + 997ms);
    CHECK(tested.to_local(10s, start + 2s) == start - 3ms);
}

// Guards against store data that looks fresh because its message stayed unread
// while the machine was suspended.
TEST_CASE("the age of a message includes the time it stayed unread") {
    store_clock tested;
    tested.on_response(start, 10s);
    const auto resumed_at = start + 8s;
    CHECK(resumed_at - *tested.to_local(11s, resumed_at) == 7s);
}

// Guards against data with a negative age when the store's clock restarts.
TEST_CASE("a local time is never in the future, even after a store restart") {
    store_clock tested;
    tested.on_response(start, 100s);
    tested.on_response(start + 5s, 1s);
    CHECK(tested.to_local(2s, start + 6s) == start + 6s);
    CHECK(tested.to_local(105s, start + 6s) == start + 6s);
}
