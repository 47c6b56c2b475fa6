#include "replay/crash_replay.hpp"

#include <catch2/catch.hpp>
#include <limits>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::duration;
using bronzehub::testing::crash_replay;
using bronzehub::testing::crash_replay_options;

// The promise to callers: later than this after the fifth crash, at most three
// requests with the segment reach an engine, and after twice this time the
// others are served.
constexpr auto window = 3s;
constexpr std::size_t crashes_before_window = 5;
constexpr std::size_t max_late_arrivals = 3;

std::size_t late_arrivals(const crash_replay& replay) {
    const auto& crashes = replay.crashes();
    return crashes.size() < crashes_before_window
               ? 0
               : replay.crashing_arrivals(crashes[crashes_before_window - 1] +
                                          window);
}

struct pattern {
    const char* name;
    std::function<void(crash_replay_options&)> apply;
};

}  // namespace

// Load patterns: requests with one segment, at any host, end each engine that
// begins to write on them, while hosts, the store and datagrams fail. Guards
// against one engine after another that ends, and against sound requests that
// are held back with them.
TEST_CASE("a segment that ends engines is kept from them") {
    const auto seed = GENERATE(range<std::uint64_t>(1, 6));
    const auto [name, apply] = GENERATE(values<pattern>({
        {"behind a common segment", [](auto&) {}},
        {"before a session's segment",
         [](auto& options) { options.crashing_segment_first = true; }},
        {"many such requests",
         [](auto& options) { options.crashing_rate = 40; }},
        {"few such requests", [](auto& options) { options.crashing_rate = 1; }},
        {"few sound requests", [](auto& options) { options.sound_rate = 5; }},
        {"lost datagrams", [](auto& options) { options.datagram_loss = 0.1; }},
        {"many hosts",
         [](auto& options) {
             options.hosts = 60;
             options.engines = 60;
             options.sound_rate = 400;
             options.sessions = 400;
             options.crashing_rate = 20;
         }},
        {"the arbiter is killed",
         [](auto& options) {
             options.events = {{100ms, [](crash_replay& replay) {
                                    replay.kill_host(replay.arbiter_index());
                                }}};
         }},
        {"hosts start again one by one, then together",
         [](auto& options) {
             for (std::size_t i = 0; i < 6; ++i) {
                 options.events.push_back(
                     {1s + i * 300ms,
                      [i](crash_replay& replay) { replay.restart_host(i); }});
             }
             options.events.push_back({4s, [](crash_replay& replay) {
                                           replay.restart_all_hosts();
                                       }});
         }},
        {"a failure domain is cut off, and the store is down",
         [](auto& options) {
             options.events = {
                 {300ms, [](crash_replay& replay) { replay.cut_domain(1); }},
                 {300ms,
                  [](crash_replay& replay) {
                      replay.set_store_reachable(false);
                  }},
                 {5s, [](crash_replay& replay) { replay.heal_domain(); }},
                 {5s, [](crash_replay& replay) {
                      replay.set_store_reachable(true);
                  }}};
         }},
    }));
    crash_replay_options options;
    options.seed = seed;
    apply(options);
    crash_replay replay(options);
    replay.run();
    INFO(name << ", seed " << seed << ": " << replay.crashes().size()
              << " crashes");
    CHECK(late_arrivals(replay) <= max_late_arrivals);
    CHECK(replay.wrongly_quarantined().empty());
    CHECK(replay.served_share(8s, 11s) > 0.95);
    CHECK(replay.store_writes() <= 20);
}

// Load patterns without such a segment. Guards against segments that are
// quarantined because engines ended under their requests.
TEST_CASE("engines that end for other reasons quarantine no segment") {
    const auto seed = GENERATE(range<std::uint64_t>(1, 6));
    const auto [name, apply, min_share] = GENERATE(
        table<const char*, std::function<void(crash_replay_options&)>, double>({
            {"all end together, three times",
             [](auto& options) {
                 for (const auto at : {2s, 5s, 8s}) {
                     options.events.push_back({at, [](crash_replay& replay) {
                                                   replay.end_all_engines();
                                               }});
                 }
             },
             0.95},
            {"all end together under few requests",
             [](auto& options) {
                 options.sound_rate = 5;
                 for (const auto at : {2s, 5s, 8s}) {
                     options.events.push_back({at, [](crash_replay& replay) {
                                                   replay.end_all_engines();
                                               }});
                 }
             },
             0.95},
            {"each ends every ten seconds",
             [](auto& options) {
                 options.spontaneous_crash_rate = 0.1;
                 options.run_time = 40s;
             },
             0.9},
            {"each ends every three seconds",
             [](auto& options) {
                 options.spontaneous_crash_rate = 0.33;
                 options.run_time = 40s;
             },
             0.85},
        }));
    crash_replay_options options;
    options.seed = seed;
    options.crashing_rate = 0;
    apply(options);
    crash_replay replay(options);
    replay.run();
    INFO(name << ", seed " << seed);
    CHECK(replay.wrongly_quarantined().empty());
    CHECK(replay.served_share(options.run_time - 1500ms,
                              options.run_time - 500ms) > min_share);
}
