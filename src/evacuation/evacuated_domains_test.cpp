#include "evacuation/evacuated_domains.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace {

using bronzehub::evacuation::domain_change;
using bronzehub::evacuation::domain_set;
using bronzehub::evacuation::evacuated_domains;

}  // namespace

// Guards against a delayed datagram or response that takes back a domain, or
// evacuates it, against the newer state.
TEST_CASE("only a newer version changes the set") {
    auto [version, expected] = GENERATE(
        table<std::uint64_t, domain_set>({{4, {"a"}}, {5, {"a"}}, {6, {"b"}}}));
    evacuated_domains tested;
    CHECK_FALSE(tested.is_known());
    CHECK(tested.on_set({"a"}, 5).added.size() == 1);
    const auto change = tested.on_set({"b"}, version);
    CHECK(tested.domains() == expected);
    CHECK(change.is_empty() == (expected == domain_set{"a"}));
}

// Guards against changes that are applied to a set to which they don't belong.
TEST_CASE("changes are applied to a set that is as new as their base") {
    auto [base, version, expected] =
        GENERATE(table<std::uint64_t, std::uint64_t, domain_set>(
            {{5, 8, {"b"}}, {3, 8, {"b"}}, {6, 8, {"a"}}, {3, 5, {"a"}}}));
    evacuated_domains tested;
    const std::vector<domain_change> changes{
        {"c", 4, true}, {"b", 7, true}, {"a", 8, false}};
    tested.on_changes(0, changes, version);
    CHECK_FALSE(tested.is_known());
    tested.on_set({"a"}, 5);
    tested.on_changes(base, changes, version);
    CHECK(tested.domains() == expected);
}

// Guards against messages whose loss, duplication or order leaves a set that
// the store never had in that version.
TEST_CASE("any order of sets and changes leads to the set of the version") {
    std::mt19937 random(GENERATE(range(1U, 200U)));
    const auto below = [&random](std::size_t limit) {
        return static_cast<std::size_t>(random() % limit);
    };
    constexpr std::size_t versions = 30;
    std::vector<domain_set> history{{}};
    std::vector<domain_change> changes;
    for (std::size_t version = 1; version <= versions; ++version) {
        const std::string domain(1, static_cast<char>('a' + below(4)));
        domain_set next = history.back();
        const bool evacuated = next.insert(domain).second;
        if (!evacuated) {
            next.erase(domain);
        }
        changes.push_back({domain, version, evacuated});
        history.push_back(next);
    }
    evacuated_domains tested;
    for (int message = 0; message < 100; ++message) {
        const std::size_t version = below(versions) + 1;
        if (below(3) == 0) {
            tested.on_set(history[version], version);
        } else {
            const std::size_t base = below(version);
            tested.on_changes(base,
                              std::span(changes).subspan(base, version - base),
                              version);
        }
        CHECK(tested.domains() == history[tested.version()]);
    }
    tested.on_set(history[versions], versions);
    CHECK(tested.domains() == history[versions]);
}

// Guards against servers that get their full load at once although their domain
// was out of use: the owner treats the servers of a removed domain as cold.
TEST_CASE("a domain that is taken back is reported once") {
    evacuated_domains tested;
    tested.on_set({"a", "b"}, 1);
    const auto change = tested.on_set({"b"}, 2);
    CHECK(change.removed == std::vector<std::string>{"a"});
    CHECK(change.added.empty());
    CHECK(tested.on_set({"b"}, 2).is_empty());
    CHECK(tested.on_set({"b"}, 3).is_empty());
    CHECK(tested.on_set({"a", "b"}, 4).added == std::vector<std::string>{"a"});
    CHECK(tested.on_set({"b"}, 5).removed == std::vector<std::string>{"a"});
}

// Guards against rows of the store that make a set too large for a datagram.
TEST_CASE("the number of evacuated domains is limited") {
    evacuated_domains tested;
    domain_set many;
    for (int i = 0; i < 500; ++i) {
        many.insert("domain-" + std::to_string(i));
    }
    tested.on_set(many, 1);
    CHECK(tested.domains().size() == evacuated_domains::max_domains);
}
