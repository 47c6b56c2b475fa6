#include "overload/host_admission.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::overload::fleet_shares;
using bronzehub::overload::host_admission;
using bronzehub::overload::host_load;
using bronzehub::overload::organisation_usage;

struct counts {
    int asked = 0;
    int admitted = 0;
};

// Requests of each organisation at its rate, on a host that is kept as late as
// a refused part of about nine tenths needs.
std::map<std::string, counts> replay(
    const std::vector<std::pair<std::string, int>>& per_100ms,
    const std::vector<organisation_usage>& sums) {
    paused_clock time;
    host_load load(time.view());
    fleet_shares fleet(time.view());
    host_admission tested(load, fleet, time.view());
    std::map<std::string, counts> result;
    for (int step = 0; step < 100; ++step) {
        fleet.update(sums);
        for (int i = 0; i < 10; ++i) {
            const auto lateness = load.refusal_ratio() < 0.9 ? 60ms : 5ms;
            load.on_sample(lateness);
            time.advance(host_load::sample_interval);
        }
        for (const auto& [organisation, rate] : per_100ms) {
            for (int i = 0; i < rate; ++i) {
                auto& counted = result[organisation];
                ++counted.asked;
                if (tested.should_refuse_next() &&
                    !tested.try_exempt(organisation)) {
                    continue;
                }
                tested.on_admitted(organisation);
                ++counted.admitted;
            }
        }
    }
    return result;
}

}  // namespace

// Guards against an organisation that loses nine tenths of its few requests as
// another one floods the host.
TEST_CASE("a flood does not take the host from the callers of others") {
    const auto got = replay({{"flood", 100}, {"small", 3}}, {});
    const auto& flood = got.at("flood");
    const auto& small = got.at("small");
    CHECK(small.admitted > small.asked * 8 / 10);
    CHECK(flood.admitted < flood.asked * 3 / 10);
}

// Guards against a host that takes more than it has time for.
TEST_CASE("as many requests are refused as without passing") {
    const auto got = replay({{"flood", 100}, {"second", 30}, {"small", 3}}, {});
    const auto alone = replay({{"flood", 133}}, {});
    const int admitted = got.at("flood").admitted + got.at("second").admitted +
                         got.at("small").admitted;
    CHECK(admitted < alone.at("flood").admitted * 11 / 10);
}

// Guards against a way around the shares of the fleet.
TEST_CASE("an organisation that got its share is not let in out of turn") {
    const auto got = replay({{"flood", 100}, {"small", 3}},
                            {{"flood", 1000, 10}, {"small", 1000, 800}});
    CHECK(got.at("small").admitted < got.at("small").asked * 5 / 10);
}
