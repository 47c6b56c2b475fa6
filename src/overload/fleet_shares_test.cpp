#include "overload/fleet_shares.hpp"

#include <catch2/catch.hpp>
#include <cmath>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::overload::fleet_shares;
using bronzehub::overload::merge_usage;
using bronzehub::overload::organisation_usage;
using sums = std::vector<organisation_usage>;

}  // namespace

// Load pattern: a large organisation asks for most of what there is. Guards
// against a level that lets it take what smaller ones are refused.
TEST_CASE("the level is what each organisation can get at most") {
    const auto [asked, level] = GENERATE(table<sums, double>({
        // Nothing refused.
        {{{"a", 100, 100}, {"b", 10, 10}}, INFINITY},
        {{{"a", 300, 90}, {"b", 10, 10}}, 90},
        {{{"a", 300, 80}, {"b", 200, 40}, {"c", 30, 0}}, 45},
        {{{"a", 50, 20}, {"b", 50, 40}}, 30},
    }));
    paused_clock time;
    fleet_shares tested(time.view());
    tested.update(asked);
    CHECK(tested.fair_share() == level);
}

// Guards against work that leaves its failure domain on a calm day.
TEST_CASE("nobody is short while nothing is refused") {
    paused_clock time;
    fleet_shares tested(time.view());
    tested.update(sums{{"a", 100, 100}, {"b", 10, 10}});
    CHECK_FALSE(tested.is_underserved("b"));
    CHECK_FALSE(tested.is_underserved("unheard of"));
}

TEST_CASE("an organisation is short when it got clearly less than others can") {
    const auto [asked, granted, is_underserved, below] =
        GENERATE(table<double, double, bool, bool>({{100, 30, true, true},
                                                    {100, 90, false, true},
                                                    {10, 9, false, true},
                                                    {10, 5, true, true},
                                                    {900, 300, false, false}}));
    paused_clock time;
    fleet_shares tested(time.view());
    const double rest = 300 - granted;
    tested.update(sums{{"other 1", 1000, rest / 2},
                       {"other 2", 1000, rest / 2},
                       {"tested", asked, granted}});
    CHECK(tested.is_underserved("tested") == is_underserved);
    CHECK(tested.is_below_fair_share("tested") == below);
    // One that is not known got nothing of late.
    CHECK(tested.is_underserved("unheard of"));
}

// Guards against decisions on sums of hosts that are out of reach.
TEST_CASE("sums are not used after their lifetime") {
    paused_clock time;
    fleet_shares tested(time.view());
    CHECK_FALSE(tested.is_current());
    tested.update(sums{{"a", 100, 10}, {"b", 100, 90}});
    CHECK(tested.is_underserved("a"));
    CHECK(tested.granted("b") == 90);
    time.advance(fleet_shares::max_age);
    CHECK_FALSE(tested.is_current());
    CHECK_FALSE(tested.is_underserved("a"));
    CHECK(tested.granted("b") == 0);
    CHECK(tested.backlog_time("a") == 0s);
}

TEST_CASE("the backlog is what was refused at the rate of what is granted") {
    paused_clock time;
    fleet_shares tested(time.view());
    tested.update(sums{{"a", 300, 100}, {"b", 100, 100}, {"c", 100, 0}});
    CHECK(tested.backlog_time("a") == 4s);
    CHECK(tested.backlog_time("b") == 0s);
    CHECK(tested.backlog_time("c") == 0s);
}

TEST_CASE("reports of several hosts add up by organisation") {
    const std::vector<sums> reports{{{"a", 10, 5}, {"b", 1, 1}},
                                    {{"a", 20, 15}}};
    const auto total = merge_usage(reports);
    REQUIRE(total.size() == 2);
    CHECK(total[0].organisation == "a");
    CHECK(total[0].requested == 30);
    CHECK(total[0].granted == 20);
    CHECK(total[1].granted == 1);
}
