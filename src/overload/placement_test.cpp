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

// Engines that are distributed evenly over the failure domains a, b and c.
struct test_fleet {
    explicit test_fleet(int count) {
        for (int i = 0; i < count; ++i) {
            backend_server server;
            server.id = "i-" + std::to_string(i);
            server.failure_domain =
                std::string(1, static_cast<char>('a' + i % 3));
            server.slots = 8;
            servers.push_back(server);
        }
        for (const auto& server : servers) {
            pointers.push_back(&server);
            engines.push_back(make_candidate(server));
        }
    }
    std::vector<backend_server> servers;
    std::vector<const backend_server*> pointers;
    std::vector<engine_candidate> engines;
};

}  // namespace

// Load pattern: sessions that send the same long segment with each request.
// Guards against prefilling the segment on every engine, and against moving it
// when an engine that is not its home is removed.
TEST_CASE("requests with the same long segment go to the same engines") {
    const test_fleet fleet(18);
    std::map<std::string, int> moved;
    int unmoved = 0;
    for (std::uint64_t session = 0; session < 300; ++session) {
        const std::vector<prompt_segment> prompt{
            {1, 500}, {100 + session, 4900}, {900000 + session, 60}};
        const auto from_a = choose_engines({prompt, "a", 1}, fleet.engines, 2);
        const auto from_b = choose_engines({prompt, "b", 2}, fleet.engines, 2);
        REQUIRE(from_a.size() == 2);
        CHECK(from_a.front() == from_b.front());
        auto remaining = fleet.engines;
        remaining.erase(remaining.begin() + 4);
        const auto after = choose_engines({prompt, "a", 1}, remaining, 2);
        unmoved += after.front() == from_a.front() ? 1 : 0;
    }
    CHECK(unmoved > 300 * 16 / 18);
}

// Load pattern: short prompts. Guards against sending requests to another
// failure domain for the sake of a few cached tokens.
TEST_CASE("requests without a long segment stay in their failure domain") {
    const test_fleet fleet(18);
    const std::vector<prompt_segment> prompt{{1, 100}, {7, 80}, {9, 600}};
    const auto chosen = choose_engines({prompt, "c", 3}, fleet.engines, 3);
    REQUIRE(chosen.size() == 3);
    for (const auto* server : chosen) {
        CHECK(server->failure_domain == "c");
    }
}

// Guards against a request that fails because all of its home engines are in
// other failure domains, which its host can't reach.
TEST_CASE("after a failure, a long segment has a local candidate") {
    const test_fleet fleet(18);
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
// have free slots. Guards against refusing requests while engines are idle.
TEST_CASE("full engines are tried last") {
    test_fleet fleet(18);
    for (auto& candidate : fleet.engines) {
        const bool local = candidate.server->failure_domain == "a";
        candidate.is_full = local && candidate.server->id != "i-3";
    }
    const std::vector<prompt_segment> prompt{{7, 80}, {9, 600}};
    const auto chosen = choose_engines({prompt, "a", 3}, fleet.engines, 3);
    REQUIRE(chosen.size() == 3);
    CHECK(chosen[0]->id == "i-3");
    CHECK(chosen[1]->failure_domain != "a");
    CHECK(chosen[2]->failure_domain != "a");
}

// Load pattern: all engines are full most of the time. Guards against
// prefilling a long segment again on any engine that happens to have a free
// slot.
TEST_CASE("a long segment keeps its home engines while they are full") {
    test_fleet fleet(18);
    const std::vector<prompt_segment> prompt{{7, 4900}, {9, 600}};
    const auto before = choose_engines({prompt, "a", 3}, fleet.engines, 2);
    for (auto& candidate : fleet.engines) {
        candidate.is_full = candidate.server == before[0];
    }
    CHECK(choose_engines({prompt, "a", 3}, fleet.engines, 2) == before);
}

// Guards against requests to a busy or disallowed server while another one is
// less loaded.
TEST_CASE("a plain request goes to the least loaded server") {
    const test_fleet fleet(3);
    std::vector<plain_candidate> candidates{{fleet.pointers[0], 2, 0, true},
                                            {fleet.pointers[1], 0, 0, true},
                                            {fleet.pointers[2], 0, 4, true}};
    CHECK(choose_plain_server(candidates, "a")->server == fleet.pointers[1]);
    candidates[1].is_allowed = false;
    CHECK(choose_plain_server(candidates, "a")->server == fleet.pointers[0]);
    candidates[0].is_allowed = false;
    candidates[2].is_allowed = false;
    CHECK(choose_plain_server(candidates, "a") == nullptr);
}

// Load pattern: a part of the servers is half as fast as the rest. Guards
// against slow servers that get as many requests as fast ones.
TEST_CASE("a plain request goes where it will be completed first") {
    const test_fleet fleet(3);
    const auto [busy_on_fast, pace_of_slow, expected] =
        GENERATE(table<std::uint32_t, double, std::size_t>({
            {0, 2, 0},
            {3, 2, 0},
            {12, 2, 1},
            {1, 1, 1},
        }));
    const std::vector<plain_candidate> candidates{
        {fleet.pointers[0], busy_on_fast, 0, true, 1},
        {fleet.pointers[1], 0, 0, true, pace_of_slow}};
    CHECK(choose_plain_server(candidates, "")->server ==
          fleet.pointers[expected]);
}
