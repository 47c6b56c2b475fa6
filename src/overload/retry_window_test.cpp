#include "overload/retry_window.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::overload::retry_window;

int take_all(retry_window& tested) {
    int taken = 0;
    while (tested.try_retry("s")) {
        ++taken;
    }
    return taken;
}

}  // namespace

// Load pattern: every request of a service fails and would be sent again.
// Guards against repeats of all hosts together that pass the fleet's budget in
// a window that starts at any moment.
TEST_CASE("the repeats of all hosts stay within the budget") {
    const auto [hosts, requests] =
        GENERATE(table<int, int>({{1, 0}, {1, 100}, {8, 400}, {70, 7}}));
    paused_clock time;
    const double ratio = 0.2;
    const double extra = 56;
    int repeats = 0;
    for (int host = 0; host < hosts; ++host) {
        retry_window tested({ratio, extra, 10s}, time.view());
        tested.set_hosts(static_cast<std::size_t>(hosts));
        for (int i = 0; i < requests; ++i) {
            tested.on_request("s");
        }
        repeats += take_all(tested);
    }
    CHECK(repeats <= ratio * hosts * requests + extra);
}

TEST_CASE("repeats come back when the window has passed") {
    paused_clock time;
    retry_window tested({0.2, 10, 10s}, time.view());
    CHECK(take_all(tested) == 5);
    time.advance(9s);
    CHECK(take_all(tested) == 0);
    time.advance(1500ms);
    CHECK(take_all(tested) == 5);
}
