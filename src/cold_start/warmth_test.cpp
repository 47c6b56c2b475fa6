#include "cold_start/warmth.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::cold_start::warmth;
using bronzehub::fleet_state::backend_server;
using remaining = std::optional<std::chrono::milliseconds>;

constexpr auto cold_time = 3s;

backend_server make_server(remaining cold_remaining,
                           std::uint64_t started_at_ms = 1) {
    backend_server result;
    result.id = "i-1";
    result.service = "model";
    result.failure_domain = "a";
    result.started_at_ms = started_at_ms;
    result.cold_remaining = cold_remaining;
    return result;
}

struct fixture {
    void list(const std::vector<backend_server>& servers) {
        tested.on_listing(servers, time.now());
        tested.remove_missing([](std::string_view) { return false; });
    }
    bool is_cold(std::uint64_t started_at_ms = 1) const {
        return tested.is_cold("i-1", started_at_ms, cold_time);
    }
    // Time until the instance is warm, in steps of 100 ms.
    std::chrono::milliseconds time_cold(std::uint64_t started_at_ms = 1) {
        auto result = 0ms;
        while (is_cold(started_at_ms) && result < 10s) {
            time.advance(100ms);
            result += 100ms;
        }
        return result;
    }

    paused_clock time;
    warmth tested{time.view()};
};

}  // namespace

// Load pattern: engines that start while callers send requests. Guards against
// full load on an engine of which nothing shows that it is warm.
TEST_CASE("an instance is cold until its registration or its age says warm") {
    const auto [listed_first, reported, expected] =
        GENERATE(table<bool, remaining, std::chrono::milliseconds>({
            {true, 0ms, 0ms},
            {true, 1200ms, 1200ms},
            {true, std::nullopt, 3000ms},
            {false, 0ms, 3000ms},
            {false, 1200ms, 1200ms},
            {false, std::nullopt, 3000ms},
        }));
    fixture fleet;
    if (!listed_first) {
        fleet.list({});
    }
    fleet.list({make_server(reported)});
    CHECK(fleet.time_cold() == expected);
}

TEST_CASE("an unknown instance is cold") {
    fixture fleet;
    CHECK(fleet.is_cold());
    fleet.list({make_server(0ms)});
    CHECK_FALSE(fleet.is_cold());
    CHECK(fleet.is_cold(2));
}

// Guards against an instance that inherits the warmth of the one before it.
TEST_CASE("an instance that returns counts as just started") {
    const std::uint64_t started_at_ms = GENERATE(1, 2);
    fixture fleet;
    fleet.list({make_server(0ms)});
    if (started_at_ms == 1) {
        fleet.list({});
    }
    fleet.list({make_server(0ms, started_at_ms)});
    CHECK(fleet.time_cold(started_at_ms) == 3s);
}

// A listing after an outage of the store may omit servers that still run.
TEST_CASE("an instance that is kept without a registration stays warm") {
    fixture fleet;
    fleet.list({make_server(0ms)});
    fleet.tested.on_listing({}, fleet.time.now());
    fleet.tested.remove_missing([](std::string_view) { return true; });
    fleet.list({make_server(0ms)});
    CHECK_FALSE(fleet.is_cold());
}

// A server may become cold again at any moment.
TEST_CASE("a later report moves the end of the cold time") {
    const auto [after, reported, expected] =
        GENERATE(table<std::chrono::milliseconds, std::chrono::milliseconds,
                       std::chrono::milliseconds>({
            {1s, 2000ms, 1s},  // Read again, the same registration.
            {1s, 900ms, 900ms},
            {1s, 2900ms, 2900ms},
            {1s, 0ms, 0ms},
            {5s, 2500ms, 2500ms},
        }));
    fixture fleet;
    fleet.list({make_server(2000ms)});
    fleet.time.advance(after);
    fleet.list({make_server(reported)});
    CHECK(fleet.time_cold() == expected);
}

TEST_CASE("a report in a response makes the instance cold") {
    fixture fleet;
    fleet.list({make_server(0ms)});
    fleet.tested.on_reported("i-1", 700ms);
    CHECK(fleet.time_cold() == 700ms);
}

TEST_CASE("the servers of a domain that returns count as just started") {
    fixture fleet;
    fleet.list({make_server(0ms)});
    fleet.tested.on_domain_returned("b");
    CHECK_FALSE(fleet.is_cold());
    fleet.tested.on_domain_returned("a");
    CHECK(fleet.time_cold() == 3s);
}

TEST_CASE("a listing that is older than the last changes nothing") {
    fixture fleet;
    fleet.list({make_server(0ms)});
    fleet.time.advance(1s);
    fleet.list({make_server(900ms)});
    fleet.tested.on_listing(std::vector{make_server(0ms)},
                            fleet.time.now() - 500ms);
    CHECK(fleet.is_cold());
}
