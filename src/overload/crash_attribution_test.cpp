#include "overload/crash_attribution.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::overload::crash_attribution;
using bronzehub::overload::engine_crash;
using bronzehub::overload::segment_id;

constexpr segment_id head = 1;
constexpr segment_id bad = 2;

struct attribution {
    // Ends the next engine under a request that was sent just before.
    std::optional<segment_id> crash(const std::vector<segment_id>& segments) {
        time.advance(100ms);
        const auto sent_at = time.now();
        time.advance(100ms);
        return tested.on_crash({"engine-" + std::to_string(++engines),
                                segments,
                                sent_at,
                                {},
                                false});
    }

    void event(const std::vector<segment_id>& segments) {
        tested.on_first_event(segments);
    }

    paused_clock time;
    crash_attribution tested{time.view()};
    int engines = 0;
};

}  // namespace

// Guards against a segment that ends one engine after another.
TEST_CASE("a segment under which engines end one by one is quarantined") {
    const auto [segments, culprit] =
        GENERATE(table<std::vector<segment_id>, segment_id>({
            {{bad}, bad},
            {{head, bad}, bad},
            // Nothing tells these apart. The last is in the fewest requests.
            {{bad, 7, 8}, 8},
        }));
    attribution all;
    for (std::uint32_t i = 1; i < crash_attribution::quarantining_crashes;
         ++i) {
        CHECK_FALSE(all.crash(segments).has_value());
        CHECK(all.tested.is_restricted(culprit) ==
              (i >= crash_attribution::restricting_crashes));
    }
    CHECK(all.crash(segments) == culprit);
}

// Guards against a segment of many requests that is refused to all on the word
// of hosts whose links to other failure domains are at fault, and against one
// that ends engines for ever because its callers reach one domain.
TEST_CASE("ends that one failure domain saw elsewhere count for less") {
    struct sighting {
        std::string domain;
        bool is_local = false;
    };
    const auto [others, second,
                needed] = GENERATE(table<sighting, sighting, std::uint32_t>({
        {{"a", false}, {"a", false}, crash_attribution::one_sided_crashes},
        {{"a", false}, {"b", false}, crash_attribution::quarantining_crashes},
        {{"a", false}, {"a", true}, crash_attribution::quarantining_crashes},
    }));
    attribution all;
    for (std::uint32_t i = 1; i <= needed; ++i) {
        const sighting& seen = i == 2 ? second : others;
        all.time.advance(100ms);
        const engine_crash crash{"engine-" + std::to_string(i),
                                 {head, bad},
                                 all.time.now(),
                                 seen.domain,
                                 seen.is_local};
        all.time.advance(100ms);
        CHECK(all.tested.on_crash(crash).has_value() == (i == needed));
    }
}

// Guards against a common segment that is blamed for what another one does.
TEST_CASE("a segment whose other requests get events is not quarantined") {
    attribution all;
    std::set<segment_id> quarantined;
    for (int i = 0; i < 20; ++i) {
        if (const auto found = all.crash({head, bad})) {
            quarantined.insert(*found);
        }
        all.event({head, 100});
    }
    CHECK(quarantined == std::set<segment_id>{bad});
}

// Guards against a common segment that is blamed, because another engine ended
// under it too, before the segment that ends engines is found.
TEST_CASE("a common segment with one more crash is not quarantined") {
    const int unrelated = GENERATE(1, 2);
    attribution all;
    for (int i = 0; i < unrelated; ++i) {
        CHECK_FALSE(all.crash({head, 50 + static_cast<segment_id>(i)}));
    }
    std::optional<segment_id> found;
    for (int i = 0; i < 4 && !found; ++i) {
        found = all.crash({head, bad});
    }
    CHECK(found == bad);
}

// Guards against a common segment that is blamed for two segments behind it.
TEST_CASE("an event between two such segments clears the common one") {
    constexpr segment_id other_bad = 3;
    attribution all;
    for (const segment_id culprit : {bad, other_bad}) {
        std::optional<segment_id> found;
        for (int i = 0; i < 4 && !found; ++i) {
            found = all.crash({head, culprit});
        }
        CHECK(found == culprit);
        all.event({head, 60});
    }
}

// Guards against a common segment that ends engines whatever follows it, while
// the segments behind it are blamed one by one.
TEST_CASE("a segment is found though different segments follow it") {
    const int requests_per_follower = GENERATE(1, 2, 4, 6);
    attribution all;
    std::vector<segment_id> quarantined;
    int crashes = 0;
    for (; crashes < 20; ++crashes) {
        const auto follower =
            100 + static_cast<segment_id>(crashes / requests_per_follower);
        if (std::ranges::find(quarantined, follower) != quarantined.end()) {
            continue;
        }
        if (const auto found = all.crash({bad, follower})) {
            quarantined.push_back(*found);
            if (*found == bad) {
                break;
            }
        }
    }
    CHECK(quarantined.back() == bad);
    CHECK(quarantined.size() <= 2);
}

// Load pattern: all engines end at once, again and again, with the segments of
// all requests. Guards against quarantine of segments that only stood beside.
TEST_CASE("engines that end together count once") {
    attribution all;
    for (int round = 0; round < 10; ++round) {
        const auto sent_at = all.time.now();
        all.time.advance(100ms);
        for (int engine = 0; engine < 12; ++engine) {
            const auto session = 100 + static_cast<segment_id>(engine);
            CHECK_FALSE(
                all.tested
                    .on_crash({"engine-" + std::to_string(round * 12 + engine),
                               {head, session},
                               sent_at,
                               {},
                               false})
                    .has_value());
        }
        for (const auto& suspect : all.tested.suspects()) {
            CHECK(suspect.crashes <= 1);
        }
        all.time.advance(2s);
        for (int engine = 0; engine < 12; ++engine) {
            all.event({head, 100 + static_cast<segment_id>(engine)});
        }
    }
}

TEST_CASE("several reports of one engine's end count once") {
    attribution all;
    const auto sent_at = all.time.now() + 1ms;
    all.time.advance(100ms);
    for (int report = 0; report < 10; ++report) {
        CHECK_FALSE(
            all.tested.on_crash({"engine", {head, bad}, sent_at, {}, false})
                .has_value());
        all.time.advance(1ms);
    }
    CHECK(all.tested.suspects().size() == 2);
    CHECK(all.tested.suspects().front().crashes == 1);
}

// Guards against an engine whose new starts are taken for its first one,
// because the listing does not show them yet.
TEST_CASE("an engine that starts again under its name counts again") {
    attribution all;
    std::optional<segment_id> found;
    for (int i = 0; i < 4; ++i) {
        const auto sent_at = all.time.now();
        all.time.advance(100ms);
        found =
            all.tested.on_crash({"engine", {head, bad}, sent_at, {}, false});
        all.time.advance(2s);
        all.event({head});
    }
    CHECK(found == bad);
}

// Guards against segments that remain suspect for ends that are explained.
TEST_CASE("a quarantined segment explains the crashes of those beside it") {
    attribution all;
    for (std::uint32_t i = 1; i < crash_attribution::quarantining_crashes;
         ++i) {
        all.crash({head, bad});
        // Another request on the engine that the same crash ended.
        all.tested.on_crash({"engine-" + std::to_string(all.engines),
                             {head, 50},
                             all.time.now() - 50ms,
                             {},
                             false});
    }
    REQUIRE(all.tested.is_restricted(50));
    REQUIRE(all.crash({head, bad}) == bad);
    CHECK_FALSE(all.tested.is_restricted(50));
    CHECK_FALSE(all.tested.is_restricted(head));
    // A report that arrives later is explained, too.
    all.tested.on_crash({"engine-" + std::to_string(all.engines),
                         {head, 51},
                         all.time.now(),
                         {},
                         false});
    CHECK(all.tested.suspects().empty());
}

TEST_CASE("a restricted segment has one trial at a time") {
    attribution all;
    all.crash({head, bad});
    all.crash({head, bad});
    const std::vector<segment_id> request{head, bad};
    CHECK(all.tested.try_begin_trial({"a", 1}, request));
    CHECK(all.tested.try_begin_trial({"a", 1}, request));
    CHECK_FALSE(all.tested.try_begin_trial({"b", 1}, request));
    CHECK(all.tested.try_begin_trial({"b", 2}, std::vector<segment_id>{9}));
    SECTION("its end lets the next one begin") {
        all.tested.end_trial({"a", 1});
        CHECK(all.tested.try_begin_trial({"b", 1}, request));
    }
    SECTION("a host that is gone holds it for a limited time") {
        all.time.advance(crash_attribution::trial_timeout);
        CHECK(all.tested.try_begin_trial({"b", 1}, request));
    }
    SECTION("an event ends the restriction") {
        all.event(request);
        CHECK_FALSE(all.tested.is_restricted(bad));
    }
}

// Guards against callers that fill the memory with ever new segments.
TEST_CASE("the state is bounded and keeps the segments most suspected") {
    attribution all;
    all.crash({bad});
    all.crash({bad});
    segment_id next = 1000;
    for (int i = 0; i < 100; ++i) {
        std::vector<segment_id> segments(100);
        for (segment_id& id : segments) {
            id = next++;
        }
        CHECK_FALSE(all.crash(segments).has_value());
    }
    CHECK(all.tested.suspects().size() <= crash_attribution::max_suspects);
    CHECK(all.tested.is_restricted(bad));
}

TEST_CASE("suspicion ends after its lifetime") {
    attribution all;
    all.crash({bad});
    all.crash({bad});
    all.time.advance(crash_attribution::suspicion_lifetime + 1s);
    CHECK(all.tested.suspects().empty());
    CHECK_FALSE(all.tested.is_restricted(bad));
}

// Guards against a host that takes over and has to see all crashes again.
TEST_CASE("the suspects of another host are continued") {
    attribution first;
    first.crash({bad});
    first.crash({bad});
    attribution second;
    second.time.advance(1s);
    second.tested.adopt(first.tested.suspects());
    CHECK(second.tested.is_restricted(bad));
    CHECK_FALSE(second.crash({bad}).has_value());
    CHECK(second.crash({bad}) == bad);
}
