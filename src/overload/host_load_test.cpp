#include "overload/host_load.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::duration;
using bronzehub::base::paused_clock;
using bronzehub::overload::host_load;

// Feeds samples of the given lateness for `span`.
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
// against reading requests so late that their callers have disconnected.
TEST_CASE("a late host refuses requests, becomes not ready and recovers") {
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

// Load pattern: hundreds of streams on a host with an eighth of a processor
// core. Guards against delaying events on a host that is not late, and against
// delaying them beyond their delivery limit.
TEST_CASE("a late host batches events for part of the delivery limit") {
    const auto [lateness, delivery_limit, delay] =
        GENERATE(table<duration, duration, duration>({{1ms, 120ms, 0ms},
                                                      {20ms, 120ms, 40ms},
                                                      {20ms, 200ms, 80ms},
                                                      {100ms, 120ms, 0ms}}));
    paused_clock time;
    host_load tested(time.view());
    run(time, tested, 5s, lateness);
    // Smoothing rounds the lateness.
    CHECK(std::chrono::abs(tested.event_batching_delay(delivery_limit) -
                           delay) < 1us);
}

// Load pattern: all callers of an organisation use one host, at several times
// its capacity. Guards against a refusal ratio that oscillates between none and
// all, which leaves the host idle for part of the time and late for the rest.
TEST_CASE("the refusal ratio settles where the host is busy but not late") {
    const auto [requests_per_s, accepted_ms, refused_ms] =
        GENERATE(table<double, double, double>({{1450, 5.8, 0.4},
                                                {600, 5.8, 0.4},
                                                {600, 2.3, 0.2},
                                                {1450, 1.4, 0.1}}));
    paused_clock time;
    host_load tested(time.view());
    const auto begin = time.now();
    constexpr auto settled_after = 2s;
    double iteration_ms = 10;
    constexpr double requests_per_iteration = 64;
    double waiting = 0;
    double busy_ms = 0;
    double settled_ms = 0;
    double lateness_sum = 0;
    while (time.now() < begin + 10s) {
        // One iteration of the event loop: it reads the requests that arrived
        // during the last one, up to the limit of the listener.
        waiting += requests_per_s * iteration_ms / 1000;
        const double requests = std::min(waiting, requests_per_iteration);
        waiting -= requests;
        const double refusal_ratio = tested.refusal_ratio();
        const double work_ms = requests * ((1 - refusal_ratio) * accepted_ms +
                                           refusal_ratio * refused_ms);
        iteration_ms = std::max(work_ms, 10.0);
        const auto iteration = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(iteration_ms));
        time.advance(iteration);
        tested.on_sample(iteration - host_load::sample_interval);
        if (time.now() >= begin + settled_after) {
            busy_ms += std::min(work_ms, iteration_ms);
            settled_ms += iteration_ms;
            lateness_sum += (iteration_ms - 10) * iteration_ms;
        }
    }
    CHECK(busy_ms / settled_ms > 0.95);
    const double mean_lateness_ms = lateness_sum / settled_ms;
    CHECK(mean_lateness_ms > 15);
    CHECK(mean_lateness_ms < 60);
    // No request waits longer than half a second: callers give up after one.
    CHECK(waiting < requests_per_s / 2);
}

// Guards against runs of refusals, in which all callers of one moment are
// refused and all callers of the next one are accepted.
TEST_CASE("refusals are spread evenly") {
    paused_clock time;
    host_load tested(time.view());
    while (tested.refusal_ratio() < 0.4) {
        run(time, tested, 10ms, 2 * host_load::target_lateness);
    }
    const double refusal_ratio = tested.refusal_ratio();
    constexpr int requests = 1000;
    int refused = 0;
    for (int i = 1; i <= requests; ++i) {
        refused += tested.accept() ? 0 : 1;
        CHECK(std::abs(refused - refusal_ratio * i) <= 1);
    }
}

// Load pattern: less load than the capacity of the host. Guards against
// unnecessary refusals.
TEST_CASE("nothing is refused below the target lateness") {
    const auto [lateness_ms, refusal_ratio] = GENERATE(
        table<int, double>({{0, 0.0}, {5, 0.0}, {10, 0.0}, {19, 0.0}}));
    paused_clock time;
    host_load tested(time.view());
    run(time, tested, 10s, std::chrono::milliseconds(lateness_ms));
    CHECK(tested.refusal_ratio() == refusal_ratio);
}

// Load pattern: a processor quota that is granted in periods, so that the
// process is now and then throttled for most of a tenth of a second. Guards
// against treating these stalls as overload.
TEST_CASE("short stalls are not overload") {
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

// Guards against refusing requests after a machine was suspended for seconds,
// for which a single sample is very late.
TEST_CASE("a single long stall has no lasting effect") {
    paused_clock time;
    host_load tested(time.view());
    run(time, tested, 10ms, 3s);
    run(time, tested, 300ms, 1ms);
    CHECK(tested.refusal_ratio() == 0);
    CHECK(tested.is_ready());
}
