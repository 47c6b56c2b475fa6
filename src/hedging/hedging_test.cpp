#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <random>
#include <ranges>
#include <vector>

#include "hedging/second_attempt_policy.hpp"

namespace {

using bronzehub::base::duration;
using bronzehub::base::paused_clock;
using bronzehub::hedging::extra_work_limit;
using bronzehub::hedging::latency_profile;
using bronzehub::hedging::make_kind;
using bronzehub::hedging::second_attempt_policy;
using namespace std::chrono_literals;
using milliseconds = std::chrono::duration<double, std::milli>;

// Response times of a service of which every fiftieth is disturbed.
class disturbed_service {
public:
    duration draw() {
        const double ms = std::uniform_real_distribution<>(10, 20)(random_);
        const bool disturbed =
            std::uniform_int_distribution<>(0, 49)(random_) == 0;
        return std::chrono::duration_cast<duration>(
            milliseconds(disturbed ? 20 * ms : ms));
    }

private:
    std::mt19937 random_{7};
};

duration quantile_of(std::vector<duration> times, double fraction) {
    std::ranges::sort(times);
    return times.at(static_cast<std::size_t>(
        fraction * static_cast<double>(times.size() - 1)));
}

}  // namespace

// Guards against a delay that is far from the times of the requests, and
// against one that a few samples define.
TEST_CASE("a quantile is known within a bucket once there are samples above") {
    const auto [fraction, count, expected_ms] =
        GENERATE(table<double, int, std::optional<double>>({
            {0.5, 100, 50.0},
            {0.95, 100, 95.0},
            {0.95, 20, std::nullopt},
            {0.98, 99, std::nullopt},
            {0.98, 200, 98.0},
        }));
    paused_clock time;
    latency_profile tested(time.view());
    for (const int i : std::views::iota(0, count)) {
        tested.on_response("a", 1ms * (1 + i % 100));
    }
    const auto found = tested.quantile("a", fraction);
    REQUIRE(found.has_value() == expected_ms.has_value());
    if (found) {
        CHECK(milliseconds(*found).count() ==
              Approx(*expected_ms).epsilon(0.1));
    }
    CHECK_FALSE(tested.quantile("b", fraction));
}

// Guards against a profile that keeps the times of a load that has passed.
TEST_CASE("a profile follows a service that becomes slower") {
    paused_clock time;
    latency_profile tested(time.view());
    for (const int i : std::views::iota(0, 3000)) {
        time.advance(100ms);
        tested.on_response("a", i < 1500 ? 10ms : 100ms);
    }
    CHECK(*tested.quantile("a", 0.5) > 90ms);
}

// Load pattern: all requests are slow at once. Guards against second attempts
// beyond the share, in any stretch of requests.
TEST_CASE("second attempts stay within the share of the work") {
    const auto [share, work] = GENERATE(table<double, double>(
        {{0.0, 1.0}, {0.02, 1.0}, {0.05, 1.0}, {0.1, 1.0}, {0.1, 12000.0}}));
    extra_work_limit tested(share);
    double requested = 0;
    double extra = 0;
    for ([[maybe_unused]] const int i : std::views::iota(0, 10000)) {
        tested.on_request("a", work);
        requested += work;
        extra += tested.try_spend("a", work) ? work : 0;
        REQUIRE(extra <= share * requested + 1e-6 * requested);
    }
    CHECK(extra == Approx(share * requested).epsilon(0.01));
    CHECK_FALSE(tested.try_spend("b", work));
}

// Guards against a burst of second attempts after a time with none.
TEST_CASE("an allowance that is not used is limited") {
    extra_work_limit tested(0.1);
    for ([[maybe_unused]] const int i : std::views::iota(0, 10000)) {
        tested.on_request("a", 1);
    }
    int spent = 0;
    while (tested.try_spend("a", 1)) {
        ++spent;
    }
    CHECK(spent == extra_work_limit::max_saved_requests);
}

// Guards against repeating what must not run twice, against more servers than
// the route allows, and against second attempts that can't end in time.
TEST_CASE("a second attempt needs a repeatable request and time") {
    struct expectation {
        bool repeatable;
        std::uint32_t attempts_sent;
        std::uint32_t max_attempts;
        duration time_left;
        double extra_work;
        bool allowed;
    };
    const auto expected = GENERATE(values<expectation>({
        {true, 1, 2, 1s, 0.05, true},
        {false, 1, 2, 1s, 0.05, false},
        {true, 2, 2, 1s, 0.05, false},
        {true, 1, 1, 1s, 0.05, false},
        {true, 1, 2, 15ms, 0.05, false},
        {true, 1, 2, 1s, 0, false},
    }));
    paused_clock time;
    second_attempt_policy tested(expected.extra_work, time.view());
    for ([[maybe_unused]] const int i : std::views::iota(0, 100)) {
        tested.on_response("a", 10ms);
    }
    const auto delay =
        tested.delay({"a", "s", expected.repeatable, expected.attempts_sent,
                      expected.max_attempts, expected.time_left});
    CHECK(delay.has_value() == expected.allowed);
    CHECK(delay.value_or(10ms) >= 10ms);
}

// Load pattern: every fiftieth response takes twenty times as long, and the
// servers have room. Guards against extra work that cuts nothing.
TEST_CASE("second attempts cut the slowest responses for little work") {
    const double share = GENERATE(0.0, 0.02, 0.05, 0.1);
    paused_clock time;
    second_attempt_policy tested(share, time.view());
    disturbed_service service;
    std::vector<duration> times;
    int second_attempts = 0;
    constexpr int requests = 20000;
    for ([[maybe_unused]] const int i : std::views::iota(0, requests)) {
        time.advance(10ms);
        tested.on_request("s", 1);
        const duration first = service.draw();
        const auto delay = tested.delay({"a", "s", true, 1, 2, 1s});
        duration answered = first;
        if (delay && first > *delay && tested.try_spend("s", 1)) {
            ++second_attempts;
            answered = std::min(first, *delay + service.draw());
        }
        tested.on_response("a", first);
        times.push_back(answered);
    }
    CHECK(second_attempts <= share * requests);
    const duration slowest = quantile_of(times, 0.99);
    if (share > 0.02) {
        CHECK(slowest < 60ms);
    }
    if (share == 0) {
        CHECK(slowest > 200ms);
    }
    CHECK(quantile_of(times, 0.5) < 20ms);
}

// Guards against comparing the first event after a short prompt with that after
// a long one.
TEST_CASE("prompts of different sizes are of different kinds") {
    CHECK(make_kind("r", 700) == make_kind("r", 900));
    CHECK(make_kind("r", 700) != make_kind("r", 7000));
    CHECK(make_kind("r", 0) != make_kind("q", 0));
    CHECK(second_attempt_policy::has_room(2, 6));
    CHECK_FALSE(second_attempt_policy::has_room(3, 6));
}
