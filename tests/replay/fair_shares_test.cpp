#include <catch2/catch.hpp>
#include <sstream>

#include "replay/fleet_replay.hpp"

namespace {

using namespace std::chrono_literals;
using bronzehub::base::duration;
using bronzehub::testing::fairness_breach;
using bronzehub::testing::fleet_replay;
using bronzehub::testing::replay_options;
using bronzehub::testing::replay_organisation;

std::function<double(duration)> steady(double per_s) {
    return [per_s](duration) { return per_s; };
}

// `per_s`, and `times` as much between two moments.
std::function<double(duration)> in_turn(double per_s, double times,
                                        duration from, duration to) {
    return [=](duration at) {
        return at >= from && at < to ? per_s * times : per_s;
    };
}

replay_organisation organisation(const std::string& name, std::size_t domain,
                                 std::function<double(duration)> rate) {
    replay_organisation result;
    result.name = name;
    result.domain = domain;
    result.rate = std::move(rate);
    return result;
}

// Twelve organisations at their usual rates, which take about two thirds of the
// engines. A small one has few sessions.
std::vector<replay_organisation> usual() {
    const std::vector<double> rates{180, 90, 50, 35, 25, 18,
                                    14,  11, 9,  7,  6,  5};
    std::vector<replay_organisation> result;
    for (std::size_t i = 0; i < rates.size(); ++i) {
        result.push_back(organisation("organisation-" + std::to_string(i + 1),
                                      i % 4, steady(rates[i])));
        result.back().sessions = static_cast<std::size_t>(rates[i] / 3);
    }
    return result;
}

void add_far_above_and_below(replay_options& options) {
    auto& all = options.organisations;
    all[0].rate = in_turn(180, 6, 2s, 12s);
    all[1].rate = in_turn(90, 0.05, 3s, 9s);
    all[2].rate = in_turn(50, 5, 2s, 12s);
    all[7].rate = in_turn(11, 17, 2s, 10s);
    all[9].rate = in_turn(7, 17, 5s, 12s);
}

// The load patterns of the incident. Each brings demand of two to four times
// what the engines can do.
std::vector<std::pair<std::string, std::function<void(replay_options&)>>>
load_patterns() {
    return {
        {"small organisations far above their usual, a large one far below",
         add_far_above_and_below},
        {"all callers of the crowding organisations in one failure domain",
         [](replay_options& options) {
             add_far_above_and_below(options);
             for (const std::size_t i : {0U, 2U, 7U}) {
                 options.organisations[i].domain = 1;
             }
         }},
        {"callers that reach one host",
         [](replay_options& options) {
             add_far_above_and_below(options);
             for (const std::size_t i : {7U, 9U}) {
                 options.organisations[i].reached_hosts = 1;
             }
         }},
        {"engines lost in two waves",
         [](replay_options& options) {
             add_far_above_and_below(options);
             options.silent_engines = {{3s, 5s, 0.1}, {6s, 4s, 0.25}};
         }},
        {"hosts that restart",
         [](replay_options& options) {
             add_far_above_and_below(options);
             options.restarted_hosts = {{3s, 0s, 0.2}, {6s, 0s, 0.4}};
         }},
        {"one hot session of a small organisation",
         [](replay_options& options) {
             add_far_above_and_below(options);
             options.organisations[7].sessions = 1;
         }},
        {"a burst of chats of the largest organisation",
         [](replay_options& options) {
             add_far_above_and_below(options);
             options.organisations[0].mix = {437, 1500, 781};
         }},
        {"long plans of small organisations only",
         [](replay_options& options) {
             add_far_above_and_below(options);
             for (const std::size_t i : {7U, 9U}) {
                 options.organisations[i].mix = {1, 0, 0};
                 options.organisations[i].rate = in_turn(3, 17, 2s, 12s);
             }
         }},
    };
}

std::string describe(const std::vector<fairness_breach>& breaches) {
    std::ostringstream text;
    for (const fairness_breach& each : breaches) {
        text << "from " << each.from_s << " s: " << each.organisation
             << " asked " << each.asked << ", got " << each.got << " of "
             << each.promised << " promised; " << each.best_served << " got "
             << each.best_got << "\n";
    }
    return text.str();
}

}  // namespace

// Guards against an organisation whose work meets few engines and that is
// served less than half of its share, while others are served everywhere.
TEST_CASE("no organisation gets less than half of its share of the fleet") {
    const auto patterns = load_patterns();
    const auto index = GENERATE_COPY(range<std::size_t>(0, patterns.size()));
    const auto seed = GENERATE(range<std::uint64_t>(1, 4));
    replay_options options;
    options.seed = seed;
    options.organisations = usual();
    patterns[index].second(options);
    fleet_replay replay(std::move(options));
    replay.run();
    const auto breaches = replay.breaches();
    INFO(patterns[index].first << ", seed " << seed << ", served "
                               << replay.served_per_s() << "/s");
    INFO(describe(breaches));
    CHECK(breaches.empty());
}
