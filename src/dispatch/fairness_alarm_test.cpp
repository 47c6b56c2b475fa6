#include "dispatch/fairness_alarm.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace bronzehub::dispatch {
namespace {

constexpr alarm_context normal{.capacity = 100, .largest_request = 50};

// Two organisations, both waiting unless a test says otherwise.
struct fixture {
    std::vector<fairness_event> step(double first, double second,
                                     const alarm_context& context = normal) {
        usage[0].received += first;
        usage[1].received += second;
        return alarm.observe(usage, context);
    }

    std::size_t events(std::size_t steps, double first, double second,
                       const alarm_context& context = normal) {
        std::size_t count = 0;
        for (std::size_t i = 0; i < steps; ++i) {
            const auto found = step(first, second, context);
            count += found.size();
            if (!found.empty()) {
                last = found.back();
            }
        }
        return count;
    }

    std::vector<organisation_usage> usage{
        {.organisation = base::organisation_id(1), .waiting = true},
        {.organisation = base::organisation_id(2), .waiting = true}};
    fairness_alarm alarm;
    fairness_event last;
};

// Guards against the alarm of a fair fleet, which operators then switch off.
TEST_CASE("equal and weighted service is silent") {
    fixture f;
    f.usage[0].weight = 1.5;
    f.usage[1].weight = 0.5;
    CHECK(f.events(100, 37.5, 12.5) == 0);
}

// Guards against an organisation that is crowded out unnoticed, and against
// an alarm for each observation of the same episode.
TEST_CASE("a lasting lag fires once and names the organisation") {
    fixture f;
    CHECK(f.events(100, 50, 0) == 1);
    CHECK(f.last.organisation == base::organisation_id(2));
    CHECK(f.last.ahead == base::organisation_id(1));
    CHECK(f.last.begins);
    CHECK(f.last.behind > 1.5);
}

// Guards against an alarm for a lag that one late report explains.
TEST_CASE("a lag that the exchange explains is silent") {
    fixture f;
    f.step(0, 0);
    CHECK(f.step(200, 0).empty());
    CHECK(f.step(0, 0).empty());
    CHECK(f.step(0, 200).empty());
    CHECK(f.events(20, 25, 25) == 0);
}

// Guards against an alarm that never clears or flaps around its bound.
TEST_CASE("an episode ends at half the bound") {
    fixture f;
    f.events(10, 50, 0);
    CHECK(f.events(7, 0, 50) == 0);
    CHECK(f.events(1, 0, 50) == 1);
    CHECK_FALSE(f.last.begins);
}

// Guards against alarms for idle organisations and for the time before one
// began to wait.
TEST_CASE("service while one does not wait is not compared") {
    fixture f;
    f.usage[1].waiting = false;
    CHECK(f.events(100, 50, 0) == 0);
    f.usage[1].waiting = true;
    CHECK(f.events(3, 50, 0) == 0);
}

// Guards against an alarm for every newcomer among long calls.
TEST_CASE("work that ran before an organisation waited is allowed for") {
    fixture f;
    f.usage[0].remainder = 1000;
    f.usage[1].waiting = false;
    f.step(50, 0);
    f.usage[1].waiting = true;
    CHECK(f.events(20, 50, 0) == 0);
    CHECK(f.events(20, 50, 0) == 1);
}

// Guards against operators searching in the wrong place.
TEST_CASE("the alarm names the cause") {
    alarm_context context = normal;
    const auto cause =
        GENERATE(alarm_cause::no_capacity, alarm_cause::partition,
                 alarm_cause::stale_exchange, alarm_cause::over_admission);
    context.no_capacity = cause == alarm_cause::no_capacity;
    context.partitioned = cause == alarm_cause::partition;
    context.stale_exchange = cause == alarm_cause::stale_exchange;
    fixture f;
    f.events(20, 50, 0, context);
    CHECK(f.last.cause == cause);
}

}  // namespace
}  // namespace bronzehub::dispatch
