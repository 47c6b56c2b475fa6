#include "overload/host_load.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::duration;
using bronzehub::base::paused_clock;
using bronzehub::overload::host_load;

// Samples at their interval, each as late as given.
void run(paused_clock& time, host_load& tested, duration span,
         duration lateness) {
    const auto end = time.now() + span;
    while (time.now() < end) {
        time.advance(host_load::sample_interval + lateness);
        tested.on_sample(lateness);
    }
}

}  // namespace

// Load pattern: one host gets many times its share of the callers. Guards
// against requests that are read so late that their callers have left.
TEST_CASE("a host that runs late refuses, then is not ready, then recovers") {
    paused_clock time;
    host_load tested(time.view());
    run(time, tested, 1s, 1ms);
    CHECK(tested.refused_share() == 0);
    run(time, tested, 400ms, 100ms);
    CHECK(tested.refused_share() > 0.5);
    CHECK(tested.is_ready());
    run(time, tested, 2s, 100ms);
    CHECK(tested.refused_share() == 1);
    CHECK_FALSE(tested.accepts(0.999));
    CHECK_FALSE(tested.is_ready());
    run(time, tested, 500ms, 1ms);
    CHECK(tested.accepts(0));
    CHECK_FALSE(tested.is_ready());
    run(time, tested, 1100ms, 1ms);
    CHECK(tested.is_ready());
}

// Load pattern: a little more than the host can do. Guards against switching
// between all and nothing.
TEST_CASE("the refused part grows with the lateness") {
    const auto [lateness, share] = GENERATE(table<int, double>(
        {{5, 0.0}, {10, 0.0}, {20, 0.25}, {30, 0.5}, {50, 1.0}, {150, 1.0}}));
    paused_clock time;
    host_load tested(time.view());
    run(time, tested, 10s, std::chrono::milliseconds(lateness));
    CHECK(tested.refused_share() == Approx(share).margin(0.01));
}

// Load pattern: a processor share that is dealt out in periods, so that the
// process stands still for most of a tenth of a second now and then.
TEST_CASE("short stalls are no overload") {
    paused_clock time;
    host_load tested(time.view());
    for (int i = 0; i < 50; ++i) {
        run(time, tested, 10ms, 80ms);
        CHECK(tested.refused_share() < 0.4);
        run(time, tested, 200ms, 1ms);
        CHECK(tested.refused_share() == 0);
        CHECK(tested.is_ready());
    }
}

// A machine that stood still for seconds is late once.
TEST_CASE("one long stall is forgotten at once") {
    paused_clock time;
    host_load tested(time.view());
    run(time, tested, 10ms, 3s);
    run(time, tested, 300ms, 1ms);
    CHECK(tested.refused_share() == 0);
    CHECK(tested.is_ready());
}
