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
    tested.exclude_instance("a");
    tested.on_listing({make_server("a", 1)}, time.now());
    CHECK(tested.find_available("a") == nullptr);
    tested.on_listing({make_server("a", 2)}, time.now());
    CHECK(tested.find_available("a") != nullptr);
}
