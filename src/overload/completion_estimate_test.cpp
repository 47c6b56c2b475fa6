#include "overload/completion_estimate.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::duration;
using bronzehub::overload::completion_estimate;

}  // namespace

TEST_CASE("a route without samples is expected to take no time") {
    completion_estimate tested;
    tested.on_completed("other", 2500ms, {0, 3});
    CHECK(tested.expected("book", {9, 3}) == duration(0));
}

// Guards against requests that are passed on behind more than can end in time.
TEST_CASE("the load of the server lengthens the expected time") {
    const auto [requests, slots, expected] =
        GENERATE(table<std::uint32_t, std::uint32_t, duration>({
            {0, 3, 2500ms},
            {2, 3, 2500ms},
            {3, 3, 5000ms},
            {8, 3, 7500ms},
            {2, 0, 7500ms},
        }));
    completion_estimate tested;
    tested.on_completed("book", 2500ms, {1, 3});
    // Waited for two others in the same slot.
    tested.on_completed("book", 7500ms, {7, 3});
    CHECK(tested.expected("book", {requests, slots}) == expected);
}

TEST_CASE("old samples and single slow requests count little") {
    completion_estimate tested;
    for (int i = 0; i < 100; ++i) {
        tested.on_completed("book", 10s, {0, 1});
    }
    for (std::size_t i = 0; i < completion_estimate::max_samples; ++i) {
        tested.on_completed("book", i == 5 ? 10s : 1s, {0, 1});
    }
    CHECK(tested.expected("book", {0, 1}) == 1s);
}
