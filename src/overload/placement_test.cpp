#include "overload/placement.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace {

using bronzehub::fleet_state::backend_server;
using bronzehub::fleet_state::prompt_segment;
using bronzehub::overload::choose_engines;
using bronzehub::overload::choose_plain_server;
using bronzehub::overload::engine_candidate;
using bronzehub::overload::make_candidate;
using bronzehub::overload::plain_candidate;

struct servers {
    explicit servers(int count) {
        for (int i = 0; i < count; ++i) {
            backend_server server;
            server.id = "i-" + std::to_string(i);
            server.failure_domain =
                std::string(1, static_cast<char>('a' + i % 3));
            server.slots = 8;
            owned.push_back(server);
        }
        for (const auto& server : owned) {
            all.push_back(&server);
            engines.push_back(make_candidate(server));
        }
    }
    std::vector<backend_server> owned;
    std::vector<const backend_server*> all;
    std::vector<engine_candidate> engines;
};

}  // namespace

// Load pattern: sessions whose long part is asked for again and again. Guards
// against a part that is read at every engine, and against one that moves when
// an engine elsewhere leaves.
TEST_CASE("requests with the same long part meet at the same engines") {
    const servers fleet(18);
    std::map<std::string, int> moved;
    int kept = 0;
    for (std::uint64_t session = 0; session < 300; ++session) {
        const std::vector<prompt_segment> prompt{
            {1, 500}, {100 + session, 4900}, {900000 + session, 60}};
        const auto from_a = choose_engines({prompt, "a", 1}, fleet.engines, 2);
        const auto from_b = choose_engines({prompt, "b", 2}, fleet.engines, 2);
        REQUIRE(from_a.size() == 2);
        CHECK(from_a.front() == from_b.front());
        auto fewer = fleet.engines;
        fewer.erase(fewer.begin() + 4);
        const auto after = choose_engines({prompt, "a", 1}, fewer, 2);
        kept += after.front() == from_a.front() ? 1 : 0;
    }
    CHECK(kept > 300 * 16 / 18);
}

// Load pattern: short prompts. Guards against bytes that cross failure domains
// for a few cached tokens.
TEST_CASE("requests without a long part stay in their failure domain") {
    const servers fleet(18);
    const std::vector<prompt_segment> prompt{{1, 100}, {7, 80}, {9, 600}};
    const auto chosen = choose_engines({prompt, "c", 3}, fleet.engines, 3);
    REQUIRE(chosen.size() == 3);
    for (const auto* server : chosen) {
        CHECK(server->failure_domain == "c");
    }
}

// Guards against a failure domain that is cut off and has no candidate within
// reach.
TEST_CASE("after a failure, a long part has a candidate nearby") {
    const servers fleet(18);
    for (std::uint64_t session = 0; session < 100; ++session) {
        const std::vector<prompt_segment> prompt{{100 + session, 4900},
                                                 {5, 60}};
        const auto chosen =
            choose_engines({prompt, "b", 1, true}, fleet.engines, 2);
        CHECK(std::ranges::any_of(chosen, [](const auto* server) {
            return server->failure_domain == "b";
        }));
        CHECK(choose_engines({prompt, "b", 1}, fleet.engines, 2).size() == 2);
    }
}

// Load pattern: the engines of one failure domain are full, those of another
// have room. Guards against refusals while engines are idle.
TEST_CASE("engines that are known to be full are tried last") {
    servers fleet(18);
    for (auto& candidate : fleet.engines) {
        const bool near = candidate.server->failure_domain == "a";
        candidate.full = near && candidate.server->id != "i-3";
    }
    const std::vector<prompt_segment> prompt{{7, 80}, {9, 600}};
    const auto chosen = choose_engines({prompt, "a", 3}, fleet.engines, 3);
    REQUIRE(chosen.size() == 3);
    CHECK(chosen[0]->id == "i-3");
    CHECK(chosen[1]->failure_domain != "a");
    CHECK(chosen[2]->failure_domain != "a");
}

// Load pattern: all engines are full most of the time. Guards against long
// parts that are read again wherever a slot happens to be free.
TEST_CASE("a long part keeps its homes while they are full") {
    servers fleet(18);
    const std::vector<prompt_segment> prompt{{7, 4900}, {9, 600}};
    const auto before = choose_engines({prompt, "a", 3}, fleet.engines, 2);
    for (auto& candidate : fleet.engines) {
        candidate.full = candidate.server == before[0];
    }
    CHECK(choose_engines({prompt, "a", 3}, fleet.engines, 2) == before);
}

TEST_CASE("a plain request goes where the load is least") {
    const servers fleet(3);
    std::vector<plain_candidate> candidates{{fleet.all[0], 2, 0, true},
                                            {fleet.all[1], 0, 0, true},
                                            {fleet.all[2], 0, 4, true}};
    CHECK(choose_plain_server(candidates, "a")->server == fleet.all[1]);
    candidates[1].allowed = false;
    CHECK(choose_plain_server(candidates, "a")->server == fleet.all[0]);
    candidates[0].allowed = false;
    candidates[2].allowed = false;
    CHECK(choose_plain_server(candidates, "a") == nullptr);
}
