#include "overload/pace_estimate.hpp"

#include <catch2/catch.hpp>
#include <ranges>

using bronzehub::base::paused_clock;
using bronzehub::overload::pace_estimate;
using namespace std::chrono_literals;

// Guards against following each disturbance of a shared machine instead of the
// mean over the time of a request.
TEST_CASE("the pace is the mean of reports that change many times a second") {
    const auto [low, high, expected] = GENERATE(table<int, int, double>(
        {{100, 100, 1.0}, {50, 150, 1.0}, {180, 220, 2.0}, {5, 5, 0.1}}));
    paused_clock time;
    pace_estimate tested;
    for (const int i : std::views::iota(0, 200)) {
        time.advance(50ms);
        tested.on_report(static_cast<std::uint32_t>(i % 2 == 0 ? low : high),
                         time.view().now());
    }
    CHECK(tested.ratio(time.view().now()) == Approx(expected).epsilon(0.05));
}

// Guards against a burst of responses within one disturbance that outweighs
// the seconds before it.
TEST_CASE("reports of the same moment count once") {
    paused_clock time;
    pace_estimate tested;
    for ([[maybe_unused]] const int i : std::views::iota(0, 100)) {
        time.advance(50ms);
        tested.on_report(100, time.view().now());
    }
    for ([[maybe_unused]] const int i : std::views::iota(0, 100)) {
        time.advance(1ms);
        tested.on_report(400, time.view().now());
    }
    CHECK(tested.ratio(time.view().now()) < 1.2);
}

// Guards against a server that is avoided for ever because of old reports.
TEST_CASE("a server without recent reports has the usual pace") {
    paused_clock time;
    pace_estimate tested;
    time.advance(1s);
    CHECK(tested.ratio(time.view().now()) == 1);
    tested.on_report(300, time.view().now());
    CHECK(tested.ratio(time.view().now()) == Approx(3));
    time.advance(pace_estimate::report_lifetime + 1ms);
    CHECK(tested.ratio(time.view().now()) == 1);
}
