#include "overload/domain_reachability.hpp"

#include <catch2/catch.hpp>
#include <vector>

using bronzehub::base::paused_clock;
using bronzehub::overload::domain_reachability;
using namespace std::chrono_literals;

// Load pattern: a failure domain is cut off. Guards against each request with a
// home there waiting for its own connect to time out, and against a whole
// domain given up for one server.
TEST_CASE("several unreachable servers speak for their domain") {
    struct failure {
        std::chrono::milliseconds after;
        const char* server;
    };
    const auto [failures, cut_off] =
        GENERATE(table<std::vector<failure>, bool>({
            {{{0ms, "a"}, {100ms, "b"}}, false},
            {{{0ms, "a"}, {100ms, "a"}, {100ms, "a"}, {100ms, "a"}}, false},
            {{{0ms, "a"}, {100ms, "b"}, {100ms, "c"}}, true},
            {{{0ms, "a"}, {1000ms, "b"}, {1000ms, "c"}}, false},
            {{{0ms, "a"}, {1000ms, "b"}, {1000ms, "c"}, {100ms, "a"}}, true},
        }));
    paused_clock time;
    domain_reachability tested("here", time.view());
    for (const failure& each : failures) {
        time.advance(each.after);
        tested.on_unreachable("there", each.server);
    }
    CHECK(tested.is_unreachable("there") == cut_off);
    CHECK_FALSE(tested.is_unreachable("elsewhere"));
}

// Guards against a domain that is never used again, and against probes that
// cost many requests their time.
TEST_CASE("single requests try a domain that is cut off until one succeeds") {
    paused_clock time;
    domain_reachability tested("here", time.view());
    for (const char* server : {"a", "b", "c"}) {
        tested.on_unreachable("there", server);
    }
    CHECK_FALSE(tested.domain_due_for_probe());
    time.advance(domain_reachability::probe_interval);
    CHECK(tested.domain_due_for_probe() == "there");
    // Not every request is for the domain.
    CHECK(tested.domain_due_for_probe() == "there");
    tested.on_request_sent("there");
    CHECK_FALSE(tested.domain_due_for_probe());
    time.advance(domain_reachability::probe_interval);
    CHECK(tested.domain_due_for_probe() == "there");
    CHECK(tested.on_reachable("there"));
    CHECK_FALSE(tested.is_unreachable("there"));
    time.advance(1s);
    CHECK_FALSE(tested.domain_due_for_probe());
    CHECK_FALSE(tested.on_reachable("there"));
}

// Guards against a host that gives up the servers next to it.
TEST_CASE("a host's own failure domain is never cut off") {
    paused_clock time;
    domain_reachability tested("here", time.view());
    for (const char* server : {"a", "b", "c", "d"}) {
        tested.on_unreachable("here", server);
    }
    CHECK_FALSE(tested.is_unreachable("here"));
}
