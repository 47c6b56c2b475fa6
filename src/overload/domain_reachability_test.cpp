#include "overload/domain_reachability.hpp"

#include <catch2/catch.hpp>
#include <vector>

using bronzehub::base::paused_clock;
using bronzehub::overload::domain_reachability;
using namespace std::chrono_literals;

// Load pattern: a network partition cuts off a failure domain. Guards against
// a connect timeout for each request whose home engine is there, and against
// treating a domain as unreachable because of a single server.
TEST_CASE("a domain is unreachable after several of its servers time out") {
    struct connect_timeout {
        std::chrono::milliseconds after;
        const char* server;
    };
    const auto [timeouts, is_unreachable] =
        GENERATE(table<std::vector<connect_timeout>, bool>({
            {{{0ms, "a"}, {100ms, "b"}}, false},
            {{{0ms, "a"}, {100ms, "a"}, {100ms, "a"}, {100ms, "a"}}, false},
            {{{0ms, "a"}, {100ms, "b"}, {100ms, "c"}}, true},
            {{{0ms, "a"}, {1000ms, "b"}, {1000ms, "c"}}, false},
            {{{0ms, "a"}, {1000ms, "b"}, {1000ms, "c"}, {100ms, "a"}}, true},
        }));
    paused_clock time;
    domain_reachability tested("here", time.view());
    for (const connect_timeout& each : timeouts) {
        time.advance(each.after);
        tested.on_unreachable("there", each.server);
    }
    CHECK(tested.is_unreachable("there") == is_unreachable);
    CHECK_FALSE(tested.is_unreachable("elsewhere"));
}

// Guards against a domain that is never used again after it has recovered, and
// against probes that make many requests wait for a connect timeout.
TEST_CASE("single requests probe an unreachable domain until one succeeds") {
    paused_clock time;
    domain_reachability tested("here", time.view());
    for (const char* server : {"a", "b", "c"}) {
        tested.on_unreachable("there", server);
    }
    CHECK_FALSE(tested.domain_due_for_probe());
    time.advance(domain_reachability::probe_interval);
    CHECK(tested.domain_due_for_probe() == "there");
    // The probe stays due until a request is sent to the domain.
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

// Guards against a host that stops using the servers of its own failure domain
// after several connect timeouts.
TEST_CASE("the failure domain of the host is never unreachable") {
    paused_clock time;
    domain_reachability tested("here", time.view());
    for (const char* server : {"a", "b", "c", "d"}) {
        tested.on_unreachable("here", server);
    }
    CHECK_FALSE(tested.is_unreachable("here"));
}
