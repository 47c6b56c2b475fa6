#include "fleet_state/read_duty.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace {

using namespace std::chrono_literals;
using bronzehub::fleet_state::reader_rank;
using bronzehub::fleet_state::reader_selection_options;
using bronzehub::fleet_state::should_read;

}  // namespace

// Guards against two hosts with the same rank and against a failure domain
// without a reader.
TEST_CASE("each host of a failure domain has a rank of its own") {
    std::vector<std::string> hosts;
    hosts.reserve(23);
    for (int i = 0; i < 23; ++i) {
        hosts.push_back("h" + std::to_string(i));
    }
    std::set<std::size_t> ranks;
    for (const auto& host : hosts) {
        ranks.insert(reader_rank(host, hosts));
    }
    CHECK(ranks.size() == hosts.size());
    CHECK(*ranks.begin() == 0);
    CHECK(reader_rank("alone", {}) == 0);
}

// The reader fails or cannot reach the store. Guards against store data that
// no other host refreshes, and against all hosts reading the store at once.
TEST_CASE("the older the knowledge of the store, the more hosts read it") {
    const reader_selection_options options;
    const auto readers = [&](bronzehub::base::duration age) {
        int count = 0;
        for (std::size_t rank = 0; rank < 60; ++rank) {
            count += should_read(options, rank, age) ? 1 : 0;
        }
        return count;
    };
    CHECK(readers(0ms) == 1);
    CHECK(readers(900ms) == 1);
    CHECK(readers(1050ms) == 2);
    CHECK(readers(1200ms) == 3);
    CHECK(readers(1700ms) == 60);
}
