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

struct request_counts {
    int requested = 0;
    int admitted = 0;
};

// Sends requests of each organisation at its rate to a host whose event loop is
// so late that it refuses about nine tenths of them.
std::map<std::string, request_counts> replay(
    const std::vector<std::pair<std::string, int>>& requests_per_100ms,
    const std::vector<organisation_usage>& usage) {
    paused_clock time;
    host_load load(time.view());
    fleet_shares fleet(time.view());
    host_admission tested(load, fleet, time.view());
    std::map<std::string, request_counts> result;
    for (int step = 0; step < 100; ++step) {
        fleet.update(usage);
        for (int i = 0; i < 10; ++i) {
            const auto lateness = load.refusal_ratio() < 0.9 ? 60ms : 5ms;
            load.on_sample(lateness);
            time.advance(host_load::sample_interval);
        }
        for (const auto& [organisation, rate] : requests_per_100ms) {
            for (int i = 0; i < rate; ++i) {
                auto& counts = result[organisation];
                ++counts.requested;
                if (tested.should_refuse_next() &&
                    !tested.try_exempt(organisation)) {
                    continue;
                }
                tested.on_admitted(organisation);
                ++counts.admitted;
            }
        }
    }
    return result;
}

}  // namespace

// Guards against refusing nine tenths of the few requests of one organisation
// because another one floods the host.
TEST_CASE("a flood of one organisation does not displace the others") {
    const auto counts = replay({{"flood", 100}, {"small", 3}}, {});
    const auto& flood = counts.at("flood");
    const auto& small = counts.at("small");
    CHECK(small.admitted > small.requested * 8 / 10);
    CHECK(flood.admitted < flood.requested * 3 / 10);
}

// Guards against exemptions that admit more requests than the host has
// processor time for.
TEST_CASE("exemptions do not reduce the number of refusals") {
    const auto counts =
        replay({{"flood", 100}, {"second", 30}, {"small", 3}}, {});
    const auto alone = replay({{"flood", 133}}, {});
    const int admitted = counts.at("flood").admitted +
                         counts.at("second").admitted +
                         counts.at("small").admitted;
    CHECK(admitted < alone.at("flood").admitted * 11 / 10);
}

// Guards against exemptions that give an organisation more than its fair share
// of the fleet.
TEST_CASE("an organisation that got its fair share is not exempted") {
    const auto counts = replay({{"flood", 100}, {"small", 3}},
                               {{"flood", 1000, 10}, {"small", 1000, 800}});
    CHECK(counts.at("small").admitted < counts.at("small").requested * 5 / 10);
}
