#include "fleet_state/backend_servers.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::fleet_state::backend_directory;
using bronzehub::fleet_state::backend_server;
using bronzehub::fleet_state::backend_state;

backend_server make_server(const std::string& id, std::uint64_t born = 1) {
    backend_server result;
    result.id = id;
    result.service = "s";
    result.address = "10.0.0.1:80";
    result.slots = 4;
    result.started_at_ms = born;
    return result;
}

}  // namespace

// Guards against new work for a server that is leaving or gone.
TEST_CASE("a server that drains or is not listed gets no work") {
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

// Guards against an outage of the store that empties the directory: the
// registrations of live servers may lapse meanwhile.
TEST_CASE("after an outage, missing servers are kept for the time they need") {
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

// Guards against work that is sent again to an address that now belongs to
// another server.
TEST_CASE("a disowned start stays out until the server starts again") {
    paused_clock time;
    backend_directory tested({}, time.view());
    tested.on_listing({make_server("a", 1)}, time.now());
    tested.exclude_incarnation("a");
    tested.on_listing({make_server("a", 1)}, time.now());
    CHECK(tested.find_available("a") == nullptr);
    tested.on_listing({make_server("a", 2)}, time.now());
    CHECK(tested.find_available("a") != nullptr);
}
