#include "entry/host_directory.hpp"

#include <catch2/catch.hpp>
#include <map>

namespace {

using namespace std::chrono_literals;
using bronzehub::base::paused_clock;
using bronzehub::entry::decode_host;
using bronzehub::entry::encode_host;
using bronzehub::entry::entry_host;
using bronzehub::entry::host_directory;

entry_host make_host(const std::string& name, const std::string& domain) {
    return {name, "10.0.0.1:7400", domain};
}

}  // namespace

// Guards against two hosts that schedule for the same engine.
TEST_CASE("hosts with the same view agree on the owner of an engine") {
    paused_clock time;
    host_directory one(make_host("h1", "a"), time.view());
    host_directory two(make_host("h2", "a"), time.view());
    const auto third = make_host("h3", "b");
    one.on_announcement(two.self(), 1);
    one.on_announcement(third, 2);
    two.on_announcement(one.self(), 3);
    two.on_announcement(third, 2);
    std::map<std::string, int> owned;
    for (int i = 0; i < 200; ++i) {
        const std::string engine = "e" + std::to_string(i);
        CHECK(one.owner(engine, "a").name == two.owner(engine, "a").name);
        CHECK(one.owner(engine, "b").name == "h3");
        ++owned[one.owner(engine, "a").name];
    }
    CHECK(owned["h3"] == 0);
    CHECK(owned["h1"] > 50);
    CHECK(owned["h2"] > 50);
}

// Guards against requests that wait again and again for a host that is gone.
TEST_CASE("a silent host is passed over, for longer each time") {
    paused_clock time;
    host_directory tested(make_host("h1", "a"), time.view());
    tested.on_announcement(make_host("h2", "b"), 1);
    REQUIRE(tested.owner("e", "b").name == "h2");
    tested.mark_suspect("h2");
    CHECK(tested.owner("e", "b").name == "h1");
    time.advance(1100ms);
    CHECK(tested.owner("e", "b").name == "h2");
    tested.mark_suspect("h2");
    time.advance(1100ms);
    CHECK(tested.owner("e", "b").name == "h1");
    tested.clear_suspicion("h2");
    CHECK(tested.owner("e", "b").name == "h2");
}

TEST_CASE("a host whose announcements end is forgotten") {
    paused_clock time;
    host_directory tested(make_host("h1", "a"), time.view());
    tested.on_announcement(make_host("h2", "a"), 1);
    CHECK(tested.host_count() == 2);
    time.advance(79s);
    tested.on_announcement(make_host("h2", "a"), 1);
    tested.expire();
    CHECK(tested.host_count() == 2);
    time.advance(2s);
    tested.expire();
    CHECK(tested.host_count() == 1);
}

TEST_CASE("an announcement survives its row, a damaged row names no host") {
    const auto read = decode_host("h1", encode_host(make_host("h1", "a"), 7));
    REQUIRE(read.has_value());
    CHECK(read->failure_domain == "a");
    CHECK_FALSE(decode_host("h1", "").has_value());
    CHECK_FALSE(decode_host("h1", "{\"address\":3}").has_value());
}

// Guards against work that is sent to a host that is about to stop, and against
// a new host that has to wait for its row to be read.
TEST_CASE("a host comes and goes by its own word") {
    paused_clock time;
    host_directory tested(make_host("h1", "a"), time.view());
    tested.on_hello(make_host("h2", "b"));
    CHECK(tested.owner("e", "b").name == "h2");
    tested.on_farewell("h2");
    CHECK(tested.owner("e", "b").name == "h1");
    tested.on_announcement(make_host("h2", "b"), 9);
    CHECK(tested.owner("e", "b").name == "h1");
    tested.on_hello(make_host("h2", "b"));
    CHECK(tested.owner("e", "b").name == "h2");
}
