#include "overload/host_load.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

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
    CHECK(tested.refusal_ratio() == 0);
    run(time, tested, 400ms, 100ms);
    CHECK(tested.refusal_ratio() > 0.5);
    CHECK(tested.is_ready());
    run(time, tested, 2s, 100ms);
    CHECK(tested.refusal_ratio() == 1);
    for (int i = 0; i < 100; ++i) {
        CHECK_FALSE(tested.accept());
    }
    CHECK_FALSE(tested.is_ready());
    run(time, tested, 500ms, 1ms);
    CHECK(tested.accept());
    CHECK_FALSE(tested.is_ready());
    run(time, tested, 1100ms, 1ms);
    CHECK(tested.is_ready());
}

// Load pattern: hundreds of streams on a host of an eighth of a core. Guards
// against events that are held back on a host with time, and against holding
// them for longer than they may take.
TEST_CASE("a late host holds events back for part of their time") {
    const auto [lateness, limit, hold] =
        GENERATE(table<duration, duration, duration>({{1ms, 120ms, 0ms},
                                                      {20ms, 120ms, 40ms},
                                                      {20ms, 200ms, 80ms},
                                                      {100ms, 120ms, 0ms}}));
    paused_clock time;
    host_load tested(time.view());
    run(time, tested, 5s, lateness);
    // The smoothed lateness is rounded.
    CHECK(std::chrono::abs(tested.event_batching_delay(limit) - hold) < 1us);
}

// Load pattern: all callers of an organisation at one host, at several times
// what it can do. Guards against a host that refuses everything and nothing by
// turns: it is idle for part of the time and late for the rest.
TEST_CASE("the refused part settles where a host is busy and in time") {
    const auto [requests_per_s, accepted_ms, refused_ms] =
        GENERATE(table<double, double, double>({{1450, 5.8, 0.4},
                                                {600, 5.8, 0.4},
                                                {600, 2.3, 0.2},
                                                {1450, 1.4, 0.1}}));
    paused_clock time;
    host_load tested(time.view());
    const auto begin = time.now();
    constexpr auto settled_after = 2s;
    double since_ms = 10;
    constexpr double requests_per_turn = 64;
    double waiting = 0;
    double busy_ms = 0;
    double settled_ms = 0;
    double lateness_sum = 0;
    while (time.now() < begin + 10s) {
        // One turn of the loop: the requests that came during the last one, up
        // to the number that the listener takes in a turn.
        waiting += requests_per_s * since_ms / 1000;
        const double requests = std::min(waiting, requests_per_turn);
        waiting -= requests;
        const double share = tested.refusal_ratio();
        const double work_ms =
            requests * ((1 - share) * accepted_ms + share * refused_ms);
        since_ms = std::max(work_ms, 10.0);
        const auto turn = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(since_ms));
        time.advance(turn);
        tested.on_sample(turn - host_load::sample_interval);
        if (time.now() >= begin + settled_after) {
            busy_ms += std::min(work_ms, since_ms);
            settled_ms += since_ms;
            lateness_sum += (since_ms - 10) * since_ms;
        }
    }
    CHECK(busy_ms / settled_ms > 0.95);
    const double mean_lateness_ms = lateness_sum / settled_ms;
    CHECK(mean_lateness_ms > 15);
    CHECK(mean_lateness_ms < 60);
    // Nobody waits unseen: a caller gives up after a second.
    CHECK(waiting < requests_per_s / 2);
}

// Guards against refusals that come in rows: the callers of a moment would all
// be turned away, and those of the next one all be let in.
TEST_CASE("refusals are spread evenly") {
    paused_clock time;
    host_load tested(time.view());
    while (tested.refusal_ratio() < 0.4) {
        run(time, tested, 10ms, 2 * host_load::target_lateness);
    }
    const double share = tested.refusal_ratio();
    constexpr int requests = 1000;
    int refused = 0;
    for (int i = 1; i <= requests; ++i) {
        refused += tested.accept() ? 0 : 1;
        CHECK(std::abs(refused - share * i) <= 1);
    }
}

// Load pattern: less than a host can do. Guards against refusals without need.
TEST_CASE("nothing is refused below the target lateness") {
    const auto [lateness, share] = GENERATE(
        table<int, double>({{0, 0.0}, {5, 0.0}, {10, 0.0}, {19, 0.0}}));
    paused_clock time;
    host_load tested(time.view());
    run(time, tested, 10s, std::chrono::milliseconds(lateness));
    CHECK(tested.refusal_ratio() == share);
}

// Load pattern: a processor share that is dealt out in periods, so that the
// process stands still for most of a tenth of a second now and then.
TEST_CASE("short stalls are no overload") {
    paused_clock time;
    host_load tested(time.view());
    for (int i = 0; i < 50; ++i) {
        run(time, tested, 10ms, 80ms);
        CHECK(tested.refusal_ratio() < 0.4);
        run(time, tested, 200ms, 1ms);
        CHECK(tested.refusal_ratio() == 0);
        CHECK(tested.is_ready());
    }
}

// A machine that stood still for seconds is late once.
TEST_CASE("one long stall is forgotten at once") {
    paused_clock time;
    host_load tested(time.view());
    run(time, tested, 10ms, 3s);
    run(time, tested, 300ms, 1ms);
    CHECK(tested.refusal_ratio() == 0);
    CHECK(tested.is_ready());
}
