#include "membership/member_table.hpp"

#include <catch2/catch.hpp>

namespace bronzehub::membership {
namespace {

using enum member_state;
using enum claim_source;

constexpr base::time_point start{};

member_update claim_of(std::uint64_t incarnation, member_state state,
                       std::uint64_t version = 0) {
    return {"host-1", "10.0.0.1:1", "domain-1", incarnation, state, version};
}

// Guards against old news that revives a dead member, a death that is believed
// without a chance to object, and a leaving member that is used again.
TEST_CASE("a claim changes the belief by incarnation, state and source") {
    const auto [known, claimed, incarnation, source, expected] =
        GENERATE(table<member_state, member_state, std::uint64_t, claim_source,
                       member_state>({
            {alive, suspect, 5, gossip, suspect},
            {alive, suspect, 4, gossip, alive},
            {alive, leaving, 5, gossip, leaving},
            {alive, dead, 5, gossip, suspect},
            {alive, dead, 6, gossip, suspect},
            {alive, dead, 5, healed_view, alive},
            {alive, dead, 5, requested_view, dead},
            {alive, dead, 5, view, suspect},
            {dead, alive, 5, view, dead},
            {leaving, alive, 5, gossip, leaving},
            {leaving, alive, 6, gossip, alive},
            {leaving, dead, 5, gossip, suspect},
            {suspect, alive, 5, gossip, suspect},
            {suspect, alive, 6, gossip, alive},
            {suspect, dead, 5, gossip, dead},
            {suspect, dead, 4, gossip, suspect},
            {dead, alive, 5, gossip, dead},
            {dead, alive, 4, healed_view, dead},
            {dead, alive, 5, healed_view, alive},
            {dead, alive, 5, requested_view, alive},
            {dead, alive, 6, gossip, alive},
            {dead, leaving, 5, gossip, dead},
        }));
    CAPTURE(known, claimed, incarnation, source);
    member_table table;
    table.apply(claim_of(5, known), gossip, start);

    const claim_result result =
        table.apply(claim_of(incarnation, claimed), source, start);

    CHECK(result.subject->state == expected);
    CHECK(result.before == known);
    CHECK(table.dead_count() == (expected == dead ? 1 : 0));
}

// Guards against a suspected member that is used while it drains.
TEST_CASE("a leaving member stays marked until it restarts") {
    member_table table;
    table.apply(claim_of(1, leaving), gossip, start);

    CHECK(table.apply(claim_of(1, suspect), gossip, start).subject->leaving);
    CHECK_FALSE(
        table.apply(claim_of(2, alive), gossip, start).subject->leaving);
}

// Guards against an older version from a former life of the member.
TEST_CASE("a configuration version rises without a change of state") {
    member_table table;
    // A daemon that starts while the platform is down learns from its first
    // contact that there is a version to fetch.
    CHECK(table.apply(claim_of(2, alive, 7), gossip, start).version_raised);

    CHECK(table.apply(claim_of(2, alive, 9), gossip, start).version_raised);
    CHECK_FALSE(
        table.apply(claim_of(1, alive, 12), gossip, start).version_raised);
    CHECK(table.find("host-1")->configuration_version == 9);
}

// Guards against memory that grows with every replaced host.
TEST_CASE("dead members are forgotten after the retention") {
    member_table table;
    table.apply(claim_of(1, dead), gossip, start);

    table.forget_dead(start);
    CHECK(table.dead_count() == 1);
    table.forget_dead(start + std::chrono::seconds(1));
    CHECK(table.find("host-1") == nullptr);
    CHECK(table.dead_count() == 0);
}

}  // namespace
}  // namespace bronzehub::membership
