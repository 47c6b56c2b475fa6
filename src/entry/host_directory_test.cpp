#include "entry/host_directory.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

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
    directory.clear_suspicion("h2");
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
    time.advance(host_directory::announcement_lifetime - 1s);
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

// Guards against repeated waiting for a host that was removed for good, whose
// row still names it to each host that starts.
TEST_CASE("a host that was never heard and does not answer owns no engine") {
    paused_clock time;
    host_directory directory(make_host("h1", "a"), time.view());
    directory.on_announcement(make_host("h2", "b"), 1);
    directory.mark_suspect("h2");
    time.advance(host_directory::announcement_lifetime - 1s);
    CHECK(directory.owner("e", "b").name == "h1");
    directory.clear_suspicion("h2");
    CHECK(directory.owner("e", "b").name == "h2");
}

// Guards against slot requests to a host that is about to stop but still sends
// the inventory of its last requests.
TEST_CASE("messages of a stopping incarnation do not make it usable") {
    paused_clock time;
    host_directory directory(make_host("h1", "a"), time.view());
    directory.on_hello(make_host("h2", "b"));
    directory.on_leave("h2", 7);
    directory.clear_suspicion("h2", 7);
    CHECK(directory.owner("e", "b").name == "h1");
    directory.clear_suspicion("h2", 8);
    CHECK(directory.owner("e", "b").name == "h2");
}

// Guards against a failure domain whose data stays old because every host waits
// for a reader that is lost or can't reach the store.
TEST_CASE("a reader that forwards nothing loses its rank until it does") {
    paused_clock time;
    std::vector<std::unique_ptr<host_directory>> hosts;
    hosts.reserve(5);
    for (int i = 0; i < 5; ++i) {
        hosts.push_back(std::make_unique<host_directory>(
            make_host("h" + std::to_string(i), "a"), time.view()));
    }
    for (const auto& one : hosts) {
        for (const auto& other : hosts) {
            one->on_hello(other->self());
        }
    }
    std::ranges::sort(hosts, {},
                      [](const auto& each) { return each->reader_rank(); });
    REQUIRE(hosts[3]->reader_rank() == 3);
    hosts[3]->mark_silent_readers();
    CHECK(hosts[3]->reader_rank() == 0);
    hosts[3]->on_forwarded(hosts[4]->self().name);
    CHECK(hosts[3]->reader_rank() == 0);
    hosts[3]->on_forwarded(hosts[1]->self().name);
    CHECK(hosts[3]->reader_rank() == 1);
    CHECK(hosts[4]->reader_rank() == 4);
}

// Guards against a host that receives nothing, and against one that sends to
// all others, in a failure domain of many hosts.
TEST_CASE("what one host forwards reaches each host of its domain once") {
    paused_clock time;
    const int count = GENERATE(1, 2, 5, 6, 39, 100);
    std::map<std::string, std::unique_ptr<host_directory>> hosts;
    for (int i = 0; i < count; ++i) {
        const std::string name = "h" + std::to_string(i);
        hosts[name] =
            std::make_unique<host_directory>(make_host(name, "a"), time.view());
    }
    for (const auto& [name, one] : hosts) {
        one->on_hello(make_host("elsewhere", "b"));
        for (const auto& [other_name, other] : hosts) {
            one->on_hello(other->self());
        }
    }
    const std::string origin = "h" + std::to_string(count / 2);
    std::map<std::string, int> received;
    for (const auto& [name, one] : hosts) {
        const auto targets = one->forwarding_targets(origin);
        CHECK(targets.size() <= host_directory::tree_degree);
        for (const auto& target : targets) {
            ++received[target.name];
        }
    }
    CHECK(received.size() == hosts.size() - 1);
    CHECK_FALSE(received.contains(origin));
    CHECK(std::ranges::all_of(
        received, [](const auto& entry) { return entry.second == 1; }));
}

// Guards against a third host that grants slots on a cold engine because it
// takes two others for dead.
TEST_CASE("the rank of a host does not depend on which hosts respond") {
    paused_clock time;
    host_directory hosts({"host-1", "127.0.0.1:1", "a"}, time.view());
    hosts.on_announcement({"host-2", "127.0.0.1:2", "a"}, 1);
    hosts.on_announcement({"host-3", "127.0.0.1:3", "b"}, 2);
    std::size_t first = 0;
    for (int i = 0; i < 100; ++i) {
        const std::string engine = "i-" + std::to_string(i);
        const std::size_t rank = hosts.rank(engine, "a");
        CHECK(rank < 2);
        CHECK((rank == 0) == (hosts.owner(engine, "a").name == "host-1"));
        CHECK(hosts.rank(engine, "b") > 0);
        hosts.mark_suspect("host-2");
        hosts.mark_suspect("host-3");
        CHECK(hosts.rank(engine, "a") == rank);
        hosts.clear_suspicion("host-2");
        hosts.clear_suspicion("host-3");
        first += rank == 0 ? 1 : 0;
    }
    CHECK(first > 20);
    CHECK(first < 80);
}
