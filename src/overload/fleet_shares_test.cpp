#include "overload/fleet_shares.hpp"

#include <catch2/catch.hpp>
#include <cmath>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::overload::fleet_shares;
using bronzehub::overload::merge_usage;
using bronzehub::overload::organisation_usage;
using usage_list = std::vector<organisation_usage>;

}  // namespace

// Load pattern: a large organisation requests most of the capacity. Guards
// against a fair share that grants it what smaller organisations are refused.
TEST_CASE("the fair share is the most that each organisation can get") {
    const auto [usage, fair_share] = GENERATE(table<usage_list, double>({
        // Nothing was refused.
        {{{"a", 100, 100}, {"b", 10, 10}}, INFINITY},
        {{{"a", 300, 90}, {"b", 10, 10}}, 90},
        {{{"a", 300, 80}, {"b", 200, 40}, {"c", 30, 0}}, 45},
        {{{"a", 50, 20}, {"b", 50, 40}}, 30},
    }));
    paused_clock time;
    fleet_shares tested(time.view());
    tested.update(usage);
    CHECK(tested.fair_share() == fair_share);
}

// Guards against requests that leave their failure domain, as those of
// underserved organisations do, while the fleet is not overloaded.
TEST_CASE("no organisation is underserved while nothing is refused") {
    paused_clock time;
    fleet_shares tested(time.view());
    tested.update(usage_list{{"a", 100, 100}, {"b", 10, 10}});
    CHECK_FALSE(tested.is_underserved("b"));
    CHECK_FALSE(tested.is_underserved("unknown"));
}

// Guards against preferring an organisation that got about its fair share, and
// against ignoring one that got clearly less.
TEST_CASE("an organisation clearly below its fair share is underserved") {
    const auto [requested, granted, is_underserved, is_below] =
        GENERATE(table<double, double, bool, bool>({{100, 30, true, true},
                                                    {100, 90, false, true},
                                                    {10, 9, false, true},
                                                    {10, 5, true, true},
                                                    {900, 300, false, false}}));
    paused_clock time;
    fleet_shares tested(time.view());
    const double rest = 300 - granted;
    tested.update(usage_list{{"other 1", 1000, rest / 2},
                             {"other 2", 1000, rest / 2},
                             {"tested", requested, granted}});
    CHECK(tested.is_underserved("tested") == is_underserved);
    CHECK(tested.is_below_fair_share("tested") == is_below);
    // An unknown organisation was granted nothing recently.
    CHECK(tested.is_underserved("unknown"));
}

// Guards against decisions on the outdated usage of unreachable hosts.
TEST_CASE("usage is ignored after its maximum age") {
    paused_clock time;
    fleet_shares tested(time.view());
    CHECK_FALSE(tested.is_current());
    tested.update(usage_list{{"a", 100, 10}, {"b", 100, 90}});
    CHECK(tested.is_underserved("a"));
    CHECK(tested.granted("b") == 90);
    time.advance(fleet_shares::max_age);
    CHECK_FALSE(tested.is_current());
    CHECK_FALSE(tested.is_underserved("a"));
    CHECK(tested.granted("b") == 0);
    CHECK(tested.backlog_time("a") == 0s);
}

// Guards against a Retry-After that does not match the rate at which the fleet
// serves the organisation.
TEST_CASE("the backlog time is refused cost at the rate of granted cost") {
    paused_clock time;
    fleet_shares tested(time.view());
    tested.update(usage_list{{"a", 300, 100}, {"b", 100, 100}, {"c", 100, 0}});
    CHECK(tested.backlog_time("a") == 4s);
    CHECK(tested.backlog_time("b") == 0s);
    CHECK(tested.backlog_time("c") == 0s);
}

// Guards against fair shares that are computed from the usage of some hosts
// only.
TEST_CASE("usage reports of several hosts are added up by organisation") {
    const std::vector<usage_list> reports{{{"a", 10, 5}, {"b", 1, 1}},
                                          {{"a", 20, 15}}};
    const auto total = merge_usage(reports);
    REQUIRE(total.size() == 2);
    CHECK(total[0].organisation == "a");
    CHECK(total[0].requested == 30);
    CHECK(total[0].granted == 20);
    CHECK(total[1].granted == 1);
}
