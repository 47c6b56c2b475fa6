#include "overload/share_meter.hpp"

#include <catch2/catch.hpp>

namespace {

using bronzehub::base::paused_clock;
using bronzehub::overload::refusal_point;
using bronzehub::overload::share_meter;

}  // namespace

// Guards against logs and metrics that don't show whether this host or the
// engines refused the requests of an organisation.
TEST_CASE("refusals are counted by organisation and by refusal point") {
    paused_clock time;
    share_meter tested(time.view());
    tested.on_requested("a", 100);
    tested.on_refused("a", 60, refusal_point::host);
    tested.on_refused("a", 30, refusal_point::engines);
    tested.on_granted("a", 10);
    tested.on_requested("b", 5);
    const auto refused = tested.take_most_refused(8);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].organisation == "a");
    CHECK(refused[0].counts.requested == 100);
    CHECK(refused[0].counts.granted == 10);
    CHECK(refused[0].counts.refused_by_host == 60);
    CHECK(refused[0].counts.refused_by_engines == 30);
    CHECK(tested.take_most_refused(8).empty());
    CHECK(tested.totals().at("b").requested == 5);
}

// Guards against a log volume that grows with the number of organisations.
TEST_CASE("only the most refused organisations are returned") {
    paused_clock time;
    share_meter tested(time.view());
    tested.on_refused("little", 1, refusal_point::host);
    tested.on_refused("much", 9, refusal_point::engines);
    tested.on_refused("some", 5, refusal_point::host);
    const auto refused = tested.take_most_refused(2);
    REQUIRE(refused.size() == 2);
    CHECK(refused[0].organisation == "much");
    CHECK(refused[1].organisation == "some");
}

// Guards against an organisation that counts as served by grants on engines
// that could not be reached, and is therefore refused elsewhere.
TEST_CASE("a grant that is taken back does not count as granted") {
    paused_clock time;
    share_meter tested(time.view());
    tested.on_granted("a", 100);
    tested.on_granted("a", 40);
    time.advance(std::chrono::milliseconds(50));
    tested.on_grant_unused("a", 100);
    REQUIRE(tested.recent_usage().size() == 1);
    CHECK(tested.recent_usage()[0].granted < 40);
    CHECK(tested.recent_usage()[0].granted > 30);
    CHECK(tested.totals().at("a").granted == 40);
    tested.on_grant_unused("a", 1000);
    CHECK(tested.recent_usage()[0].granted == 0);
}

// Guards against a share that stays charged with what a request stated.
TEST_CASE("a corrected cost replaces the expected one") {
    const double difference = GENERATE(-80., 50.);
    paused_clock time;
    share_meter tested(time.view());
    tested.on_requested("a", 100);
    tested.on_granted("a", 100);
    tested.on_cost_corrected("a", difference);
    CHECK(tested.totals().at("a").requested == 100 + difference);
    CHECK(tested.totals().at("a").granted == 100 + difference);
    REQUIRE(tested.recent_usage().size() == 1);
    CHECK(tested.recent_usage()[0].granted == Approx(100 + difference));
    CHECK(tested.recent_usage()[0].requested == Approx(100 + difference));
}
