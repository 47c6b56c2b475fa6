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

// Guards against two hosts that schedule for the same engine, which happens
// when they compute different owners from the same set of hosts.
TEST_CASE("hosts that know the same hosts agree on the owner of an engine") {
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

// Guards against repeated waiting for a host that no longer runs: each time its
// suspicion period ends, its engines return to it and requests time out again.
TEST_CASE("a suspect host owns no engine, for longer each time") {
    paused_clock time;
    host_directory directory(make_host("h1", "a"), time.view());
    directory.on_announcement(make_host("h2", "b"), 1);
    REQUIRE(directory.owner("e", "b").name == "h2");
    directory.mark_suspect("h2");
    CHECK(directory.owner("e", "b").name == "h1");
    time.advance(1100ms);
    CHECK(directory.owner("e", "b").name == "h2");
    directory.mark_suspect("h2");
    time.advance(1100ms);
    CHECK(directory.owner("e", "b").name == "h1");
    directory.clear_suspicion("h2");
    CHECK(directory.owner("e", "b").name == "h2");
}

TEST_CASE("a host whose announcements end is removed") {
    paused_clock time;
    host_directory directory(make_host("h1", "a"), time.view());
    directory.on_announcement(make_host("h2", "a"), 1);
    CHECK(directory.host_count() == 2);
    time.advance(79s);
    directory.on_announcement(make_host("h2", "a"), 1);
    directory.remove_expired();
    CHECK(directory.host_count() == 2);
    time.advance(2s);
    directory.remove_expired();
    CHECK(directory.host_count() == 1);
}

TEST_CASE(
    "an announcement survives encoding, and an invalid row names no host") {
    const auto read = decode_host("h1", encode_host(make_host("h1", "a"), 7));
    REQUIRE(read.has_value());
    CHECK(read->failure_domain == "a");
    CHECK_FALSE(decode_host("h1", "").has_value());
    CHECK_FALSE(decode_host("h1", "{\"address\":3}").has_value());
}

// Guards against slot requests to a host that is about to stop, and against a
// new host that owns no engine until the others read its row. Both happen when
// the datagrams for start and stop have no effect.
TEST_CASE("a host owns engines from its hello until it leaves") {
    paused_clock time;
    host_directory directory(make_host("h1", "a"), time.view());
    directory.on_hello(make_host("h2", "b"));
    CHECK(directory.owner("e", "b").name == "h2");
    directory.on_leave("h2");
    CHECK(directory.owner("e", "b").name == "h1");
    directory.on_announcement(make_host("h2", "b"), 9);
    CHECK(directory.owner("e", "b").name == "h1");
    directory.on_hello(make_host("h2", "b"));
    CHECK(directory.owner("e", "b").name == "h2");
}
