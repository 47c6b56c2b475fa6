#include "overload/placement.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace {

using bronzehub::fleet_state::backend_server;
using bronzehub::fleet_state::prompt_part;
using bronzehub::overload::choose_engines;
using bronzehub::overload::choose_plain;
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
        }
    }
    std::vector<backend_server> owned;
    std::vector<const backend_server*> all;
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
        const std::vector<prompt_part> prompt{
            {1, 500}, {100 + session, 4900}, {900000 + session, 60}};
        const auto from_a = choose_engines({prompt, "a", 1}, fleet.all, 2);
        const auto from_b = choose_engines({prompt, "b", 2}, fleet.all, 2);
        REQUIRE(from_a.size() == 2);
        CHECK(from_a.front() == from_b.front());
        auto fewer = fleet.all;
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
    const std::vector<prompt_part> prompt{{1, 100}, {7, 80}, {9, 600}};
    const auto chosen = choose_engines({prompt, "c", 3}, fleet.all, 3);
    REQUIRE(chosen.size() == 3);
    for (const auto* server : chosen) {
        CHECK(server->failure_domain == "c");
    }
}

// Guards against a failure domain that is cut off and has no candidate within
// reach.
TEST_CASE("a long part always has a candidate nearby") {
    const servers fleet(18);
    for (std::uint64_t session = 0; session < 100; ++session) {
        const std::vector<prompt_part> prompt{{100 + session, 4900}, {5, 60}};
        const auto chosen = choose_engines({prompt, "b", 1}, fleet.all, 3);
        CHECK(std::ranges::any_of(chosen, [](const auto* server) {
            return server->failure_domain == "b";
        }));
    }
}

TEST_CASE("a plain request goes where the load is least") {
    const servers fleet(3);
    std::vector<plain_candidate> candidates{{fleet.all[0], 2, 0, true},
                                            {fleet.all[1], 0, 0, true},
                                            {fleet.all[2], 0, 4, true}};
    CHECK(choose_plain(candidates, "a")->server == fleet.all[1]);
    candidates[1].allowed = false;
    CHECK(choose_plain(candidates, "a")->server == fleet.all[0]);
    candidates[0].allowed = false;
    candidates[2].allowed = false;
    CHECK(choose_plain(candidates, "a") == nullptr);
}
