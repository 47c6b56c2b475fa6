#include "fleet_state/backend_servers.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::fleet_state::backend_directory;
using bronzehub::fleet_state::backend_server;
using bronzehub::fleet_state::backend_state;

backend_server make_server(const std::string& id,
                           std::uint64_t started_at_ms = 1) {
    backend_server result;
    result.id = id;
    result.service = "s";
    result.address = "10.0.0.1:80";
    result.slots = 4;
    result.started_at_ms = started_at_ms;
    return result;
}

}  // namespace

// Guards against new requests to a server that is draining or was removed.
TEST_CASE("a draining or unlisted server gets no work") {
    paused_clock time;
    backend_directory tested({}, time.view());
    tested.on_listing({make_server("a"), make_server("b")}, time.now());
    CHECK(tested.available("s").size() == 2);

    auto draining = make_server("a");
    draining.state = backend_state::draining;
    time.advance(600ms);
    tested.on_listing({draining}, time.now());
    CHECK(tested.available("s").empty());
    CHECK(tested.find_available("a") == nullptr);
    CHECK(tested.find_available("b") == nullptr);
}

// Guards against requests to an evacuated domain, also to a server that is
// listed there only later, and against a cached list of servers.
TEST_CASE("a server in an evacuated domain gets no work") {
    paused_clock time;
    backend_directory tested({}, time.view());
    auto near = make_server("a");
    near.failure_domain = "near";
    auto far = make_server("b");
    far.failure_domain = "far";
    tested.on_listing({far}, time.now());
    CHECK_FALSE(tested.has_evacuated("s"));
    const auto generation = tested.generation();
    tested.set_evacuated_domains({"near"});
    CHECK(tested.generation() > generation);
    tested.on_listing({near, far}, time.now());
    CHECK(tested.has_evacuated("s"));
    CHECK(tested.find_available("a") == nullptr);
    CHECK(tested.available("s").size() == 1);
    CHECK(tested.all().size() == 2);
    tested.set_evacuated_domains({});
    CHECK(tested.find_available("a") != nullptr);
}

// Guards against an empty directory after an outage of the store, during which
// live servers could not renew their registrations.
TEST_CASE("after an outage, unlisted servers are kept for the grace period") {
    paused_clock time;
    backend_directory tested({}, time.view());
    tested.on_listing({make_server("a")}, time.now());
    time.advance(5s);
    tested.on_listing({}, time.now());
    CHECK(tested.find_available("a") != nullptr);
    time.advance(2100ms);
    tested.on_listing({}, time.now());
    CHECK(tested.find_available("a") == nullptr);
}

// Guards against requests to an address that now belongs to another server,
// while the store still lists the server that had the address before.
TEST_CASE("an excluded instance stays excluded until the server restarts") {
    paused_clock time;
    backend_directory tested({}, time.view());
    tested.on_listing({make_server("a", 1)}, time.now());
    tested.exclude_instance("a", 1);
    tested.on_listing({make_server("a", 1)}, time.now());
    CHECK(tested.find_available("a") == nullptr);
    tested.on_listing({make_server("a", 2)}, time.now());
    CHECK(tested.find_available("a") != nullptr);
}

// Guards against a late response of an address's earlier owner that removes the
// server which has started there since.
TEST_CASE("an exclusion concerns the instance that was asked") {
    const auto [asked, excluded] = GENERATE(
        table<std::uint64_t, bool>({{1, false}, {2, true}, {3, false}}));
    paused_clock time;
    backend_directory tested({}, time.view());
    tested.on_listing({make_server("a", 2)}, time.now());
    tested.exclude_instance("a", asked);
    CHECK((tested.find_available("a") == nullptr) == excluded);
}

// Guards against a host that is left without servers by rejections until it or
// the servers start again.
TEST_CASE("an excluded instance is tried again while it is still listed") {
    paused_clock time;
    backend_directory tested({}, time.view());
    tested.on_listing({make_server("a")}, time.now());
    tested.exclude_instance("a", 1);
    time.advance(2s);
    tested.on_listing_unchanged(time.now());
    CHECK(tested.find_available("a") == nullptr);
    time.advance(1s);
    tested.on_listing_unchanged(time.now());
    CHECK(tested.find_available("a") != nullptr);
}

// Guards against new requests to a server that announced its stop in a
// response, while the store, a peer with older knowledge or a lapsed and
// renewed registration still shows it as available.
TEST_CASE("a server that announced its stop gets no work until it restarts") {
    paused_clock time;
    backend_directory tested({}, time.view());
    tested.on_listing({make_server("a", 5), make_server("b", 5)}, time.now());
    const auto generation = tested.generation();
    CHECK(tested.mark_leaving("a", 5));
    CHECK(tested.generation() > generation);
    CHECK(tested.find_available("a") == nullptr);
    CHECK(tested.find_available("b") != nullptr);
    CHECK_FALSE(tested.mark_leaving("a", 5));

    const auto listed = GENERATE(
        values<std::vector<std::uint64_t>>({{5}, {4, 5}, {0, 5}, {5, 0}}));
    for (const std::uint64_t started_at_ms : listed) {
        time.advance(600ms);
        if (started_at_ms == 0) {
            tested.on_listing({make_server("b", 5)}, time.now());
        } else {
            tested.on_listing(
                {make_server("a", started_at_ms), make_server("b", 5)},
                time.now());
        }
        CHECK(tested.find_available("a") == nullptr);
    }
    time.advance(600ms);
    tested.on_listing({make_server("a", 6)}, time.now());
    CHECK(tested.find_available("a") != nullptr);
}

// Guards against a restarted server that is avoided because a peer still tells
// of its earlier instance, and against memory that grows with each restart.
TEST_CASE("the stop of an earlier instance does not concern a later one") {
    paused_clock time;
    backend_directory tested({}, time.view());
    tested.on_listing({make_server("a", 6)}, time.now());
    CHECK_FALSE(tested.mark_leaving("a", 5));
    CHECK(tested.find_available("a") != nullptr);
    CHECK_FALSE(tested.mark_leaving("unknown", 5));
    time.advance(11min);
    tested.on_listing({make_server("a", 6)}, time.now());
    tested.on_listing({make_server("unknown", 5)}, time.now());
    CHECK(tested.find_available("unknown") != nullptr);
}
