#include "entry/backend_status.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::duration;
using bronzehub::base::paused_clock;
using bronzehub::entry::backend_status;

}  // namespace

// Guards against requests to a server during the pause that it asked for, and
// against a server that is avoided after it.
TEST_CASE("a server that asked for a pause gets no requests until its end") {
    paused_clock time;
    backend_status tested(time.view());
    CHECK(tested.allows_request("a"));
    CHECK_FALSE(tested.any_limited());
    tested.pause("a", 2s);
    CHECK(tested.any_limited());
    CHECK_FALSE(tested.allows_request("a"));
    CHECK(tested.allows_request("b"));
    time.advance(1500ms);
    CHECK(tested.remaining_pause("a") == 500ms);
    tested.pause("a", 100ms);
    CHECK(tested.remaining_pause("a") == 500ms);
    time.advance(500ms);
    CHECK(tested.allows_request("a"));
    CHECK(tested.remaining_pause("a") == 0ms);
}

// Guards against a server that is avoided for ever because of one absurd value,
// and against a pause that the next instance of the server did not ask for.
TEST_CASE("a pause is limited and ends with the instance of the server") {
    paused_clock time;
    backend_status tested(time.view());
    const auto [asked, expected] = GENERATE(table<duration, duration>(
        {{0s, 0s}, {24h, backend_status::max_pause}, {5s, 5s}}));
    tested.pause("a", asked);
    CHECK(tested.remaining_pause("a") == expected);
    tested.find_or_create("a").in_flight = GENERATE(0U, 1U);
    tested.remove("a");
    CHECK(tested.allows_request("a"));
}

// Guards against requests for certain weights that reach servers which have
// others, and against a change of the weights that is never noticed.
TEST_CASE("a report of other weights counts for a limited time") {
    paused_clock time;
    backend_status tested(time.view());
    CHECK_FALSE(tested.has_other_weights("a", 1));
    tested.on_weights_report("a", 2);
    CHECK(tested.has_other_weights("a", 1));
    CHECK_FALSE(tested.has_other_weights("a", 2));
    SECTION("a newer report") {
        tested.on_weights_report("a", 1);
    }
    SECTION("no newer report") {
        time.advance(backend_status::weights_report_lifetime);
    }
    SECTION("a new start") {
        tested.remove("a");
    }
    CHECK_FALSE(tested.has_other_weights("a", 1));
}

// Guards against a successful late response that ends the pause.
TEST_CASE("results of earlier attempts do not end a pause") {
    paused_clock time;
    backend_status tested(time.view());
    tested.pause("a", 2s);
    tested.on_result("a", 0, GENERATE(true, false));
    CHECK_FALSE(tested.allows_request("a"));
}
