#include "overload/retry_window.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::overload::retry_window;

// Retries until the budget is exhausted and returns their number.
int exhaust(retry_window& tested) {
    int retries = 0;
    while (tested.try_retry("s")) {
        ++retries;
    }
    return retries;
}

}  // namespace

// Load pattern: every request of a service fails and would be retried. Guards
// against hosts whose retries together exceed the budget of the fleet in a
// window that starts at any moment.
TEST_CASE("the retries of all hosts stay within the budget") {
    const auto [hosts, requests] =
        GENERATE(table<int, int>({{1, 0}, {1, 100}, {8, 400}, {70, 7}}));
    paused_clock time;
    const double ratio = 0.2;
    const double extra = 56;
    int retries = 0;
    for (int host = 0; host < hosts; ++host) {
        retry_window tested({ratio, extra, 10s}, time.view());
        tested.set_hosts(static_cast<std::size_t>(hosts));
        for (int i = 0; i < requests; ++i) {
            tested.on_request("s");
        }
        retries += exhaust(tested);
    }
    CHECK(retries <= ratio * hosts * requests + extra);
}

// Guards against a budget that is refilled while its retries are still within
// the window, or never.
TEST_CASE("the budget is available again after the window") {
    paused_clock time;
    retry_window tested({0.2, 10, 10s}, time.view());
    CHECK(exhaust(tested) == 5);
    time.advance(9s);
    CHECK(exhaust(tested) == 0);
    time.advance(1500ms);
    CHECK(exhaust(tested) == 5);
}
